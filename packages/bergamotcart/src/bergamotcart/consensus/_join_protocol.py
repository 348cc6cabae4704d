"""Join requests, by which a process reports its incarnation, address and zone to the leader."""

from msgspec.structs import replace

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import Members, find_member, member_id, readmission_step

# A newcomer sends a join request about once per election timeout. The leader drops a newcomer that
# has sent none for this number of greatest election timeouts.
_NEWCOMER_RETENTION_TIMEOUTS = 4


class JoinProtocol:
    """Sends the join requests of this member, and tracks newcomers as leader."""

    __slots__ = ('_state', '_echo', '_reports', 'join_request_at')

    def __init__(self, state: MemberState) -> None:
        """Initialize without newcomers.

        :param state: state of this member.
        """
        self.join_request_at = state.election_at if state.is_formed else state.now
        self._state = state
        self._echo = (0, float())
        self._reports: dict[str, tuple[messages.LogMember, float]] = {}

    @property
    def newcomers(self) -> Members:
        """Processes outside the membership that recently repeated the clock of this leader."""
        known_ids = {member_id(member) for member in self._state.members}
        return tuple(
            member for member in self._recent_reports if member_id(member) not in known_ids
        )

    def find_correction(self) -> Members | None:
        """Return the membership with an address and a zone as the member itself reports them.

        Whoever forms the group may not know the zones of the other members, and a member may move
        to another address with its disk.

        :returns: the membership to propose, or ``None`` if no report differs.
        """
        members = self._state.members
        reported = {member_id(member): member for member in self._recent_reports}
        reported[self._state.own_id] = self._make_own_entry()
        corrected = tuple(
            replace(reported.get(member_id(member), member), voter=member.voter)
            for member in members
        )
        return None if corrected == members else corrected

    def send_join_requests(self) -> None:
        """Report this member to all known members, unless the leader knows what it reports.

        Contact with the leader alone does not show that: to a member that lost its data folder,
        the leader still sends because of the former incarnation. It may be the only member that
        such a member can reach, as all those in its settings may have been replaced.
        """
        state = self._state
        self.join_request_at = state.now + state.configuration.election_timeout_s[0]
        if state.has_recent_leader_contact and self._is_listed(self._make_own_entry()):
            return
        names = {member.name for member in state.members}.union(state.contact_points)
        if state.leader:
            names.add(state.leader)
        names.discard(state.configuration.name)
        for name in sorted(names):
            state.send(name, self._make_join_request())

    def on_join_response(self, envelope: messages.Envelope) -> None:
        """Repeat the leader's clock, which proves that this incarnation is running now."""
        response = envelope.body
        if response.incarnation == self._state.hard_state.incarnation:
            self._echo = (response.term, response.sent_at)
            self._state.reply(envelope, self._make_join_request())

    def on_join_request(self, envelope: messages.Envelope) -> None:
        """Register a newcomer as leader, or forward its request to the leader."""
        state, request = self._state, envelope.body
        newcomer = request.member
        if state.role != Role.leader:
            if state.leader and envelope.sender == newcomer.name:
                state.send(state.leader, request)
        elif not self._is_listed(newcomer):
            self._process_join_request(request)

    def find_readmission(self, leadership) -> Members | None:
        """Return the next membership towards giving a member its vote back.

        :param leadership: the current leadership of this member.
        :returns: the membership to propose, or ``None``.
        """
        state = self._state
        for member in state.members:
            step = readmission_step(
                state.members,
                member,
                caught_up=not member.voter and leadership.is_caught_up(member),
            )
            if step:
                return step
        for newcomer in self.newcomers:
            replaced = find_member(state.members, newcomer.name)
            if replaced and not leadership.has_recent_response(replaced):
                return readmission_step(state.members, newcomer, caught_up=False)
        return self.find_correction()

    @property
    def _recent_reports(self) -> Members:
        since = self._state.now - self._newcomer_retention_s
        return tuple(member for member, proved_at in self._reports.values() if proved_at >= since)

    @property
    def _newcomer_retention_s(self) -> float:
        return _NEWCOMER_RETENTION_TIMEOUTS * self._state.configuration.election_timeout_s[1]

    def _process_join_request(self, request: messages.JoinRequest) -> None:
        state, newcomer = self._state, request.member
        is_recent = request.echo_sent_at >= state.now - self._newcomer_retention_s
        if request.echo_term == state.hard_state.term and is_recent:
            # A newcomer is always admitted as a non-voter.
            self._reports[newcomer.name] = (replace(newcomer, voter=False), state.now)
        challenge = messages.JoinResponse(
            term=state.hard_state.term,
            incarnation=newcomer.incarnation,
            sent_at=state.now,
        )
        if not is_recent or request.echo_term != state.hard_state.term:
            state.send_to_address(newcomer.name, newcomer.address, challenge)

    def _is_listed(self, reported: messages.LogMember) -> bool:
        known = find_member(self._state.members, reported.name)
        return known is not None and replace(known, voter=False) == replace(reported, voter=False)

    def _make_join_request(self) -> messages.JoinRequest:
        return messages.JoinRequest(
            member=self._make_own_entry(),
            echo_term=self._echo[0],
            echo_sent_at=self._echo[1],
        )

    def _make_own_entry(self) -> messages.LogMember:
        state = self._state
        return messages.LogMember(
            name=state.configuration.name,
            incarnation=state.hard_state.incarnation,
            address=state.configuration.address,
            availability_zone=state.configuration.availability_zone,
            voter=False,
        )
