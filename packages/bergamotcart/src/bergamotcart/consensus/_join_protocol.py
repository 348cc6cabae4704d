"""Join requests, by which a member without a vote reports itself to the leader."""

from msgspec.structs import replace

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._core import Core
from bergamotcart.consensus._membership import Members, find_member, member_id, readmission_step

# A newcomer repeats its request about once per election timeout. The leader drops a newcomer
# that has sent none for this number of greatest election timeouts.
_RETENTION_TIMEOUTS = 4


class JoinProtocol:
    """Sends the join requests of this member, and tracks newcomers as leader."""

    __slots__ = ('_core', '_echo', '_newcomers', 'join_request_at')

    def __init__(self, core: Core) -> None:
        """Initialize without newcomers.

        :param core: state of this member.
        """
        self.join_request_at = core.election_at
        self._core = core
        self._echo = (0, float())
        self._newcomers: dict[str, tuple[messages.LogMember, float]] = {}

    @property
    def newcomers(self) -> Members:
        """Processes outside the membership that recently repeated the clock of this leader."""
        since = self._core.now - self._retention_s
        known_ids = {member_id(member) for member in self._core.members}
        return tuple(
            member
            for member, proved_at in self._newcomers.values()
            if proved_at >= since and member_id(member) not in known_ids
        )

    def send_join_requests(self) -> None:
        """Report the own incarnation to all known members, unless the leader knows it.

        Contact with the leader alone does not show that: to a member that lost its data folder,
        the leader still sends because of the former incarnation.
        """
        core = self._core
        self.join_request_at = core.now + core.configuration.election_timeout_s[1]
        if core.has_recent_leader_contact and core.my_id in {
            member_id(member) for member in core.members
        }:
            return
        names = {member.name for member in core.members}.union(core.contact_points)
        names.discard(core.configuration.name)
        for name in sorted(names):
            core.send(name, self._make_join_request())

    def on_join_response(self, envelope: messages.Envelope) -> None:
        """Repeat the leader's clock, which proves that this incarnation is running now."""
        response = envelope.body
        if response.incarnation == self._core.hard_state.incarnation:
            self._echo = (response.term, response.sent_at)
            self._core.reply(envelope, self._make_join_request())

    def on_join_request(self, envelope: messages.Envelope) -> None:
        """Register a newcomer as leader, or forward its request to the leader."""
        core, request = self._core, envelope.body
        newcomer = request.member
        if core.role != Role.leader:
            if core.leader and envelope.sender == newcomer.name:
                core.send(core.leader, request)
        elif member_id(newcomer) not in {member_id(member) for member in core.members}:
            self._process_join_request(request)

    def find_readmission(self, leadership) -> Members | None:
        """Return the next membership towards giving a member its vote back.

        :param leadership: the current leadership of this member.
        :returns: the membership to propose, or ``None``.
        """
        core = self._core
        for member in core.members:
            step = readmission_step(
                core.members,
                member,
                caught_up=not member.voter and leadership.is_caught_up(member),
            )
            if step:
                return step
        for newcomer in self.newcomers:
            replaced = find_member(core.members, newcomer.name)
            if replaced and not leadership.has_recent_answer(replaced):
                return readmission_step(core.members, newcomer, caught_up=False)
        return None

    @property
    def _retention_s(self) -> float:
        return _RETENTION_TIMEOUTS * self._core.configuration.election_timeout_s[1]

    def _process_join_request(self, request: messages.JoinRequest) -> None:
        core, newcomer = self._core, request.member
        is_recent = request.echo_sent_at >= core.now - self._retention_s
        if request.echo_term == core.hard_state.term and is_recent:
            # A newcomer is always admitted as a non-voter.
            self._newcomers[newcomer.name] = (replace(newcomer, voter=False), core.now)
        challenge = messages.JoinResponse(
            term=core.hard_state.term,
            incarnation=newcomer.incarnation,
            sent_at=core.now,
        )
        if not is_recent or request.echo_term != core.hard_state.term:
            core.send_to_address(newcomer.name, newcomer.address, challenge)

    def _make_join_request(self) -> messages.JoinRequest:
        core = self._core
        return messages.JoinRequest(
            member=messages.LogMember(
                name=core.configuration.name,
                incarnation=core.hard_state.incarnation,
                address=core.configuration.address,
                availability_zone=core.configuration.availability_zone,
                voter=False,
            ),
            echo_term=self._echo[0],
            echo_sent_at=self._echo[1],
        )
