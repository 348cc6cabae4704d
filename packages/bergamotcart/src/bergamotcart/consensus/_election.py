"""Pre-votes and votes, in a formed group and during its formation."""

from collections.abc import Mapping

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import (
    Members,
    find_member,
    identity,
    is_majority,
    voter_ids,
)

_AnyVoteRequest = messages.PreVoteRequest | messages.VoteRequest


class Election:
    """Candidacy of this member, and its responses to other candidates."""

    __slots__ = (
        '_answers',
        '_state',
        '_founders',
        '_is_forming_group',
        '_pre_votes',
        '_proposed_term',
        '_votes',
    )

    def __init__(self, state: MemberState) -> None:
        """Initialize without a candidacy.

        :param state: state of this member.
        """
        self._state = state
        self._proposed_term = 0
        self._pre_votes: dict[str, str] = {}
        self._votes: dict[str, str] = {}
        self._is_forming_group = False
        # Members that could form the group themselves, as far as their answers show.
        self._founders: set[str] = set()
        self._answers: dict[str, str] = {}

    @property
    def answers(self) -> Mapping[str, str]:
        """Newest answer to a request for a pre-vote or a vote, by name of the member."""
        return self._answers

    def start_pre_vote(self) -> None:
        """Start a pre-vote if this member may be a candidate; called after the election timeout."""
        state = self._state
        state.restart_election_timer()
        self._is_forming_group = (
            state.may_form_group and state.configuration.name in state.initial_names
        )
        if not (self._is_forming_group or state.may_be_candidate):
            state.change_role(Role.follower, None, 'election timeout; not a voter')
            return
        state.change_role(Role.candidate, None, 'election timeout')
        self._proposed_term = state.hard_state.term + 1
        self._pre_votes = {state.configuration.name: state.hard_state.incarnation}
        self._votes = {}
        self._founders = {state.configuration.name}
        self._request_votes(messages.PreVoteRequest)
        if self._has_enough_votes(self._pre_votes):
            self.start_election()

    def on_pre_vote_request(self, envelope: messages.Envelope) -> None:
        """Answer whether this member would grant a vote."""
        state, request = self._state, envelope.body
        refusal = self._find_pre_vote_refusal(envelope)
        granted = not refusal
        if granted:
            self._delay_own_candidacy(envelope.sender)
        response = messages.PreVoteResponse(
            term=request.term if granted else state.hard_state.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
            reason=refusal,
            may_form_group=state.may_form_group,
        )
        state.reply(envelope, response)

    def on_vote_request(self, envelope: messages.Envelope) -> None:
        """Grant or refuse a vote; the response is sent once the vote is synced.

        A member with recent contact to a leader ignores the request and does not enter the newer
        term. The leader's check-quorum relies on this, and a delayed request must not depose a
        leader.
        """
        state, request = self._state, envelope.body
        if state.has_recent_leader_contact:
            return
        if request.term > state.hard_state.term:
            state.enter_term(request.term, 'vote request of a newer term')
        candidate = identity(envelope.sender, envelope.incarnation)
        if request.term != state.hard_state.term:
            refusal = f'in newer term {state.hard_state.term}'
        elif state.hard_state.voted_for not in {None, candidate}:
            refusal = f'voted for {state.hard_state.voted_for}'
        else:
            refusal = self._find_vote_refusal(envelope)
        granted = not refusal
        if granted:
            if state.hard_state.voted_for is None:
                state.write_hard_state(state.hard_state.term, candidate)
            state.restart_election_timer()
        response = messages.VoteResponse(
            term=state.hard_state.term,
            granted=granted,
            candidate_incarnation=envelope.incarnation,
            reason=refusal,
            may_form_group=state.may_form_group,
        )
        state.reply_when_synced(envelope, response)

    def on_pre_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a pre-vote, and start the election once enough are granted."""
        response = envelope.body
        if not self._is_response_to_own_request(response) or self._votes or not self._pre_votes:
            return
        self._record_answer(envelope, 'pre-vote')
        if not response.granted:
            self._enter_newer_term(response.term)
            self._schedule_pre_vote_retry()
            return
        if response.term != self._proposed_term:
            return
        self._record_founder(envelope)
        self._pre_votes[envelope.sender] = envelope.incarnation
        if self._has_enough_votes(self._pre_votes):
            self.start_election()

    def start_election(self) -> None:
        """Enter the proposed term, vote for this member and request the votes of the others."""
        state = self._state
        state.write_hard_state(self._proposed_term, state.own_id)
        state.restart_election_timer()
        self._votes = {state.configuration.name: state.hard_state.incarnation}
        self._founders = {state.configuration.name}
        self._request_votes(messages.VoteRequest)

    def on_vote_response(self, envelope: messages.Envelope) -> None:
        """Count a granted vote, or enter the newer term of a refusal."""
        response = envelope.body
        if not self._is_response_to_own_request(response):
            return
        self._record_answer(envelope, 'vote')
        if response.term > self._state.hard_state.term:
            self._enter_newer_term(response.term)
        elif response.granted and response.term == self._state.hard_state.term and self._votes:
            self._record_founder(envelope)
            self._votes[envelope.sender] = envelope.incarnation

    def finish_won_election(self) -> Members | None:
        """End the candidacy if it has won and this member's own vote is synced.

        :returns: the membership to lead, or ``None`` if the election is not won yet.
        """
        state = self._state
        is_candidate = state.role == Role.candidate and self._proposed_term == state.hard_state.term
        if not (is_candidate and self._votes and self._has_enough_votes(self._votes)):
            return None
        if state.output_buffer.newest_batch > state.output_buffer.synced_batch:
            return None
        members = self._make_initial_membership() if self._is_forming_group else state.members
        self._votes = {}
        return members

    def _request_votes(
        self, request_type: type[messages.PreVoteRequest] | type[messages.VoteRequest]
    ) -> None:
        state = self._state
        request = request_type(
            term=self._proposed_term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            members=state.members,
            initial_members=state.initial_names if self._is_forming_group else (),
        )
        is_vote = request_type is messages.VoteRequest
        synced_index = state.log.last_index if is_vote else 0
        recipients = (
            state.configuration.initial_members if self._is_forming_group else state.members
        )
        for recipient in recipients:
            if recipient.name != state.configuration.name:
                # The own vote counts only once it is synced, so the request need not wait for that.
                # Votes are granted to the log in the request, which must not shrink in a crash.
                state.send(recipient.name, request, synced_index=synced_index)

    def _delay_own_candidacy(self, candidate: str) -> None:
        """Delay the own candidacy after granting a pre-vote, to avoid a split vote.

        The delay of two heartbeats is short compared to the election timeout: a candidate that
        never wins, for instance because it receives no responses, must not prevent this member
        from becoming a candidate.
        """
        state = self._state
        is_in_pre_vote = state.role == Role.candidate and not self._votes
        if is_in_pre_vote and candidate < state.configuration.name:
            self._pre_votes = {}
            state.election_at = state.now
        state.election_at = max(
            state.election_at, state.now + 2 * state.configuration.leader_heartbeat_interval_s
        )

    def _record_founder(self, envelope: messages.Envelope) -> None:
        if envelope.body.may_form_group:
            self._founders.add(envelope.sender)
        else:
            self._founders.discard(envelope.sender)

    def _record_answer(self, envelope: messages.Envelope, kind: str) -> None:
        response = envelope.body
        answer = 'granted' if response.granted else f'refused: {response.reason}'
        self._answers[envelope.sender] = f'{kind} of term {self._proposed_term} {answer}'

    def _schedule_pre_vote_retry(self) -> None:
        """Repeat a refused pre-vote after a heartbeat; it may be granted then."""
        state = self._state
        if state.role == Role.candidate and not self._is_forming_group:
            state.election_at = min(
                state.election_at, state.now + state.configuration.leader_heartbeat_interval_s
            )

    def _is_response_to_own_request(
        self, response: messages.PreVoteResponse | messages.VoteResponse
    ) -> bool:
        state = self._state
        is_own_incarnation = response.candidate_incarnation == state.hard_state.incarnation
        return is_own_incarnation and state.role == Role.candidate

    def _enter_newer_term(self, term: int) -> None:
        if term > self._state.hard_state.term:
            self._state.enter_term(term, 'response of a newer term')
            self._votes = {}

    def _has_enough_votes(self, granted: dict[str, str]) -> bool:
        state = self._state
        if self._is_forming_group:
            # A member that was started again with an empty data folder may have lost its disk after
            # the group was formed. A record that was committed since is on a majority, so it is on
            # one of the others, unless most of the initial members have lost theirs too.
            is_majority_intact = len(self._founders) > len(state.initial_names) // 2
            return is_majority_intact and set(granted) == set(state.initial_names)
        ids = [identity(name, incarnation) for name, incarnation in granted.items()]
        return is_majority(ids, state.voters)

    def _make_initial_membership(self) -> Members:
        return tuple(
            messages.LogMember(
                name=member.name,
                incarnation=self._votes[member.name],
                address=member.address,
                availability_zone=member.availability_zone,
                voter=True,
            )
            for member in self._state.configuration.initial_members
        )

    def _find_pre_vote_refusal(self, envelope: messages.Envelope) -> str:
        """Return why this member would not vote for a candidate; empty if it would."""
        state = self._state
        if envelope.body.term <= state.hard_state.term:
            return f'in term {state.hard_state.term}'
        if state.has_recent_leader_contact:
            return f'recent contact with a leader or start, knows {state.leader or "no leader"}'
        return self._find_vote_refusal(envelope)

    def _find_vote_refusal(self, envelope: messages.Envelope) -> str:
        state, request = self._state, envelope.body
        if not request.members:
            return '' if self._may_grant_formation_vote(envelope) else 'cannot form this group'
        candidate = identity(envelope.sender, envelope.incarnation)
        # This member may lack the record that made it a voter, or that demoted the candidate, while
        # the candidate's log has it.
        listed_voters = voter_ids(request.members)
        if candidate not in listed_voters | state.voters:
            return 'candidate is no voter'
        if state.own_id not in state.voters | listed_voters:
            return f'{state.own_id} is no voter'
        position = (request.last_term, request.last_index)
        own_position = (state.log.last_term, state.log.last_index)
        if position < own_position:
            return f'own log is longer: term and index {own_position}, candidate {position}'
        return ''

    def _may_grant_formation_vote(self, envelope: messages.Envelope) -> bool:
        state = self._state
        return (
            not state.is_formed
            and envelope.body.initial_members == state.initial_names
            and find_member(state.configuration.initial_members, state.configuration.name)
            is not None
            and find_member(state.configuration.initial_members, envelope.sender) is not None
        )
