"""Pre-votes and votes, in a formed group and during its formation."""

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
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
    """Candidacy of this member, and its responses to other candidates."""

    __slots__ = ('_core', '_is_forming_group', '_pre_votes', '_proposed_term', '_votes')

    def __init__(self, core: Core) -> None:
        """Initialize without a candidacy.

        :param core: state of this member.
        """
        self._core = core
        self._proposed_term = 0
        self._pre_votes: dict[str, str] = {}
        self._votes: dict[str, str] = {}
        self._is_forming_group = False

    def start_pre_vote(self) -> None:
        """Start a pre-vote if this member may be a candidate; called after the election timeout."""
        core = self._core
        core.restart_election_timer()
        self._is_forming_group = (
            core.may_form_group and core.configuration.name in core.initial_names
        )
        if not (self._is_forming_group or core.is_voter):
            core.change_role(Role.follower, None, 'no leader heard; not a voter')
            return
        core.change_role(Role.candidate, None, 'no leader heard')
        self._proposed_term = core.hard_state.term + 1
        self._pre_votes = {core.configuration.name: core.hard_state.incarnation}
        self._votes = {}
        self._request_votes(messages.PreVoteRequest)
        if self._has_enough_votes(self._pre_votes):
            self.start_election()

    def on_pre_vote_request(self, envelope: messages.Envelope) -> None:
        """Answer whether this member would grant a vote."""
        core, request = self._core, envelope.body
        granted = (
            request.term > core.hard_state.term
            and not core.has_recent_leader_contact
            and self._may_grant_vote(envelope)
        )
        if granted:
            self._defer_to(envelope.sender)
        response = messages.PreVoteResponse(
            term=request.term if granted else core.hard_state.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
        )
        core.reply(envelope, response)

    def on_vote_request(self, envelope: messages.Envelope) -> None:
        """Grant or refuse a vote; the response is sent once the vote is synced.

        A member with recent contact to a leader ignores the request and does not enter the newer
        term. The leader's check-quorum relies on this, and a delayed request must not depose a
        leader.
        """
        core, request = self._core, envelope.body
        if core.has_recent_leader_contact:
            return
        if request.term > core.hard_state.term:
            core.enter_term(request.term, 'vote request of a newer term')
        candidate = identity(envelope.sender, envelope.incarnation)
        granted = (
            request.term == core.hard_state.term
            and core.hard_state.voted_for in {None, candidate}
            and self._may_grant_vote(envelope)
        )
        if granted:
            if core.hard_state.voted_for is None:
                core.write_hard_state(core.hard_state.term, candidate)
            core.restart_election_timer()
        response = messages.VoteResponse(
            term=core.hard_state.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
        )
        core.reply_when_synced(envelope, response)

    def on_pre_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a pre-vote, and start the election once enough are granted."""
        response = envelope.body
        if not self._answers_own_request(response) or self._votes or not self._pre_votes:
            return
        if not response.granted:
            self._enter_newer_term(response.term)
            self._schedule_pre_vote_retry()
            return
        if response.term != self._proposed_term:
            return
        self._pre_votes[envelope.sender] = envelope.incarnation
        if self._has_enough_votes(self._pre_votes):
            self.start_election()

    def start_election(self) -> None:
        """Enter the proposed term, vote for this member and request the votes of the others."""
        core = self._core
        core.write_hard_state(self._proposed_term, core.my_id)
        core.restart_election_timer()
        self._votes = {core.configuration.name: core.hard_state.incarnation}
        self._request_votes(messages.VoteRequest)

    def on_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a granted vote, or enter the newer term of a refusal."""
        response = envelope.body
        if not self._answers_own_request(response):
            return
        if response.term > self._core.hard_state.term:
            self._enter_newer_term(response.term)
        elif response.granted and response.term == self._core.hard_state.term and self._votes:
            self._votes[envelope.sender] = envelope.incarnation

    def finish_won_election(self) -> Members | None:
        """End the candidacy if it has won and this member's own vote is synced.

        :returns: the membership to lead, or ``None`` if the election is not won yet.
        """
        core = self._core
        is_candidate = core.role == Role.candidate and self._proposed_term == core.hard_state.term
        if not (is_candidate and self._votes and self._has_enough_votes(self._votes)):
            return None
        if core.output_buffer.barrier > core.output_buffer.synced_batch:
            return None
        members = self._make_first_membership() if self._is_forming_group else core.members
        self._votes = {}
        return members

    def _request_votes(
        self, request_type: type[messages.PreVoteRequest] | type[messages.VoteRequest]
    ) -> None:
        core = self._core
        request = request_type(
            term=self._proposed_term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            members=core.members,
            initial_members=core.initial_names if self._is_forming_group else (),
        )
        recipients = core.configuration.initial_members if self._is_forming_group else core.members
        for recipient in recipients:
            if recipient.name != core.configuration.name:
                core.send_when_synced(recipient.name, request)

    def _defer_to(self, candidate: str) -> None:
        """Delay the own candidacy after granting a pre-vote, to avoid a split vote.

        The delay of two heartbeats is short compared to the election timeout: a candidate that
        never wins, for instance because it receives no responses, must not prevent this member
        from becoming a candidate.
        """
        core = self._core
        is_in_pre_vote = core.role == Role.candidate and not self._votes
        if is_in_pre_vote and candidate < core.configuration.name:
            self._pre_votes = {}
            core.election_at = core.now
        core.election_at = max(
            core.election_at, core.now + 2 * core.configuration.leader_heartbeat_interval_s
        )

    def _schedule_pre_vote_retry(self) -> None:
        """Repeat a refused pre-vote after a heartbeat; it may be granted then."""
        core = self._core
        if core.role == Role.candidate and not self._is_forming_group:
            core.election_at = min(
                core.election_at, core.now + core.configuration.leader_heartbeat_interval_s
            )

    def _answers_own_request(
        self, response: messages.PreVoteResponse | messages.VoteResponse
    ) -> bool:
        core = self._core
        is_own_incarnation = response.candidate_incarnation == core.hard_state.incarnation
        return is_own_incarnation and core.role == Role.candidate

    def _enter_newer_term(self, term: int) -> None:
        if term > self._core.hard_state.term:
            self._core.enter_term(term, 'answer of a newer term')
            self._votes = {}

    def _has_enough_votes(self, granted: dict[str, str]) -> bool:
        core = self._core
        if self._is_forming_group:
            return set(granted) == set(core.initial_names)
        ids = [identity(name, incarnation) for name, incarnation in granted.items()]
        return is_majority(ids, core.voters)

    def _make_first_membership(self) -> Members:
        return tuple(
            messages.LogMember(
                name=member.name,
                incarnation=self._votes[member.name],
                address=member.address,
                availability_zone=member.availability_zone,
                voter=True,
            )
            for member in self._core.configuration.initial_members
        )

    def _may_grant_vote(self, envelope: messages.Envelope) -> bool:
        core, request = self._core, envelope.body
        if not request.members:
            return self._may_grant_formation_vote(envelope)
        candidate = identity(envelope.sender, envelope.incarnation)
        # This member may lack the record that made it a voter, while the candidate's log has it.
        listed_voters = voter_ids(request.members)
        if candidate not in listed_voters or core.my_id not in core.voters | listed_voters:
            return False
        position = (request.last_term, request.last_index)
        return position >= (core.log.last_term, core.log.last_index)

    def _may_grant_formation_vote(self, envelope: messages.Envelope) -> bool:
        core = self._core
        return (
            core.may_form_group
            and envelope.body.initial_members == core.initial_names
            and find_member(core.configuration.initial_members, core.configuration.name) is not None
            and find_member(core.configuration.initial_members, envelope.sender) is not None
        )
