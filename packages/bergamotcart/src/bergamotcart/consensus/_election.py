"""Pre-votes and votes, in a formed group and at its formation."""

from bergamotcart import messages
from bergamotcart.consensus._config import Role
from bergamotcart.consensus._core import Core
from bergamotcart.consensus._membership import (
    Members,
    find_member,
    identity,
    is_majority,
    voter_ids,
)

_Request = messages.PreVoteRequest | messages.VoteRequest


class Election:
    """Candidacy of this member, and its answers to other candidates."""

    __slots__ = ('_core', '_forming', '_pre_votes', '_proposed_term', '_votes')

    def __init__(self, core: Core) -> None:
        """Start without a candidacy.

        :param core: state of this member.
        """
        self._core = core
        self._proposed_term = 0
        self._pre_votes: dict[str, str] = {}
        self._votes: dict[str, str] = {}
        self._forming = False

    def start(self) -> None:
        """Begin a pre-vote, if this member may stand; called when the election timeout ends."""
        core = self._core
        core.restart_election_timer()
        self._forming = core.may_found and core.config.name in core.initial_names
        if not (self._forming or core.is_voter):
            core.change_role(Role.follower, None, 'no leader heard; not a voter')
            return
        core.change_role(Role.candidate, None, 'no leader heard')
        self._proposed_term = core.hard.term + 1
        self._pre_votes = {core.config.name: core.hard.incarnation}
        self._votes = {}
        self._ask(messages.PreVoteRequest)
        if self._wins(self._pre_votes):
            self.stand()

    def on_pre_vote_request(self, envelope: messages.Envelope) -> None:
        """Answer whether a vote would be granted."""
        core, request = self._core, envelope.body
        granted = (
            request.term > core.hard.term and not core.heard_recently and self._supports(envelope)
        )
        if granted:
            self._let_go_first(envelope.sender)
        response = messages.PreVoteResponse(
            term=request.term if granted else core.hard.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
        )
        core.reply(envelope, response)

    def on_vote_request(self, envelope: messages.Envelope) -> None:
        """Give or refuse a vote; the answer leaves once the vote is synced.

        A member that hears a leader does not even enter the newer term: a leader's
        check-quorum relies on it, and a late request must not unseat a leader.
        """
        core, request = self._core, envelope.body
        if core.heard_recently:
            return
        if request.term > core.hard.term:
            core.enter_term(request.term, 'vote request of a newer term')
        candidate = identity(envelope.sender, envelope.incarnation)
        granted = (
            request.term == core.hard.term
            and core.hard.voted_for in {None, candidate}
            and self._supports(envelope)
        )
        if granted:
            if core.hard.voted_for is None:
                core.write_hard(core.hard.term, candidate)
            core.restart_election_timer()
        response = messages.VoteResponse(
            term=core.hard.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
        )
        core.reply_when_synced(envelope, response)

    def on_pre_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a pre-vote, and stand once enough are granted."""
        response = envelope.body
        if not self._is_for_me(response) or self._votes or not self._pre_votes:
            return
        if not response.granted:
            self._learn_term(response.term)
            self._retry_soon()
            return
        if response.term != self._proposed_term:
            return
        self._pre_votes[envelope.sender] = envelope.incarnation
        if self._wins(self._pre_votes):
            self.stand()

    def stand(self) -> None:
        """Enter the next term with a vote for itself, and ask for the others' votes."""
        core = self._core
        core.write_hard(self._proposed_term, core.my_id)
        core.restart_election_timer()
        self._votes = {core.config.name: core.hard.incarnation}
        self._ask(messages.VoteRequest)

    def on_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a vote."""
        response = envelope.body
        if not self._is_for_me(response):
            return
        if response.term > self._core.hard.term:
            self._learn_term(response.term)
        elif response.granted and response.term == self._core.hard.term and self._votes:
            self._votes[envelope.sender] = envelope.incarnation

    def take_victory(self) -> Members | None:
        """End a candidacy that has won, once its own vote is synced.

        :returns: the membership with which to lead, or ``None`` if the election is not won.
        """
        core = self._core
        stands = core.role == Role.candidate and self._proposed_term == core.hard.term
        if not (stands and self._votes and self._wins(self._votes)):
            return None
        if core.outbox.barrier > core.outbox.synced_batch:
            return None
        members = self._first_members() if self._forming else core.members
        self._votes = {}
        return members

    def _ask(self, kind: type[messages.PreVoteRequest] | type[messages.VoteRequest]) -> None:
        core = self._core
        request = kind(
            term=self._proposed_term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            members=core.members,
            initial_members=core.initial_names if self._forming else (),
        )
        electors = core.config.initial_members if self._forming else core.members
        for elector in electors:
            if elector.name != core.config.name:
                core.send_when_synced(elector.name, request)

    def _let_go_first(self, candidate: str) -> None:
        """Avoid a split vote with a candidate that was given a pre-vote.

        The pause is short against the election timeout: a candidate that never wins, for
        instance because it hears no answers, must not keep this member from standing.
        """
        core = self._core
        is_asking = core.role == Role.candidate and not self._votes
        if is_asking and candidate < core.config.name:
            self._pre_votes = {}
            core.election_at = core.now
        core.election_at = max(core.election_at, core.now + 2 * core.config.heartbeat_s)

    def _retry_soon(self) -> None:
        """Repeat a pre-vote that was refused, since its reason may pass within a heartbeat."""
        core = self._core
        if core.role == Role.candidate and not self._forming:
            core.election_at = min(core.election_at, core.now + core.config.heartbeat_s)

    def _is_for_me(self, response: messages.PreVoteResponse | messages.VoteResponse) -> bool:
        core = self._core
        mine = response.candidate_incarnation == core.hard.incarnation
        return mine and core.role == Role.candidate

    def _learn_term(self, term: int) -> None:
        if term > self._core.hard.term:
            self._core.enter_term(term, 'answer of a newer term')
            self._votes = {}

    def _wins(self, granted: dict[str, str]) -> bool:
        core = self._core
        if self._forming:
            return set(granted) == set(core.initial_names)
        ids = [identity(name, incarnation) for name, incarnation in granted.items()]
        return is_majority(ids, core.voters)

    def _first_members(self) -> Members:
        return tuple(
            messages.LogMember(
                name=member.name,
                incarnation=self._votes[member.name],
                address=member.address,
                availability_zone=member.availability_zone,
                voter=True,
            )
            for member in self._core.config.initial_members
        )

    def _supports(self, envelope: messages.Envelope) -> bool:
        core, request = self._core, envelope.body
        if not request.members:
            return self._supports_formation(envelope)
        candidate = identity(envelope.sender, envelope.incarnation)
        # A member may lack the record that made it a voter; the candidate's log proves it.
        listed = voter_ids(request.members)
        if candidate not in listed or core.my_id not in core.voters | listed:
            return False
        position = (request.last_term, request.last_index)
        return position >= (core.log.last_term, core.log.last_index)

    def _supports_formation(self, envelope: messages.Envelope) -> bool:
        core = self._core
        return (
            core.may_found
            and envelope.body.initial_members == core.initial_names
            and find_member(core.config.initial_members, core.config.name) is not None
            and find_member(core.config.initial_members, envelope.sender) is not None
        )
