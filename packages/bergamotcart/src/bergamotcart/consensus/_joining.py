"""How a member without a vote makes itself known to the leader."""

from msgspec.structs import replace

from bergamotcart import messages
from bergamotcart.consensus._config import Role
from bergamotcart.consensus._core import Core
from bergamotcart.consensus._membership import Members, find_member, member_id, readmission_step

# A newcomer repeats its request about once per election timeout; after this many greatest
# election timeouts without one it counts as gone.
_TIMEOUTS_KEPT = 4


class Joining:
    """Announcements of this member, and those that it received as leader."""

    __slots__ = ('_core', '_echo', '_newcomers', 'announce_at')

    def __init__(self, core: Core) -> None:
        """Start without newcomers.

        :param core: state of this member.
        """
        self.announce_at = core.election_at
        self._core = core
        self._echo = (0, float())
        self._newcomers: dict[str, tuple[messages.LogMember, float]] = {}

    @property
    def newcomers(self) -> Members:
        """Members outside the membership that proved to the leader that they are alive."""
        since = self._core.now - self._kept_s
        present = {member_id(member) for member in self._core.members}
        return tuple(
            member
            for member, seen_at in self._newcomers.values()
            if seen_at >= since and member_id(member) not in present
        )

    def announce(self) -> None:
        """Report the own incarnation to all known members, if the leader may not know it.

        An emptied member hears the leader, which still sends to the former incarnation.
        """
        core = self._core
        self.announce_at = core.now + core.config.election_timeout_s[1]
        if core.heard_recently and core.my_id in {member_id(member) for member in core.members}:
            return
        names = {member.name for member in core.members}.union(core.contacts)
        names.discard(core.config.name)
        for name in sorted(names):
            core.send(name, self._make_request())

    def on_join_response(self, envelope: messages.Envelope) -> None:
        """Repeat the leader's clock, as proof that this member is alive."""
        response = envelope.body
        if response.incarnation == self._core.hard.incarnation:
            self._echo = (response.term, response.sent_at)
            self._core.reply(envelope, self._make_request())

    def on_join_request(self, envelope: messages.Envelope) -> None:
        """Note a newcomer as leader, or pass its request on to the leader."""
        core, request = self._core, envelope.body
        newcomer = request.member
        if core.role != Role.leader:
            if core.leader and envelope.sender == newcomer.name:
                core.send(core.leader, request)
        elif member_id(newcomer) not in {member_id(member) for member in core.members}:
            self._note(request)

    def propose_readmission(self, leadership) -> Members | None:
        """Next membership that brings a member back to a vote.

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
            if replaced and not leadership.answers(replaced):
                return readmission_step(core.members, newcomer, caught_up=False)
        return None

    @property
    def _kept_s(self) -> float:
        return _TIMEOUTS_KEPT * self._core.config.election_timeout_s[1]

    def _note(self, request: messages.JoinRequest) -> None:
        core, newcomer = self._core, request.member
        fresh = request.echo_sent_at >= core.now - self._kept_s
        if request.echo_term == core.hard.term and fresh:
            # Nobody comes in with a vote.
            self._newcomers[newcomer.name] = (replace(newcomer, voter=False), core.now)
        challenge = messages.JoinResponse(
            term=core.hard.term,
            incarnation=newcomer.incarnation,
            sent_at=core.now,
        )
        if not fresh or request.echo_term != core.hard.term:
            core.send_to(newcomer.name, newcomer.address, challenge)

    def _make_request(self) -> messages.JoinRequest:
        core = self._core
        return messages.JoinRequest(
            member=messages.LogMember(
                name=core.config.name,
                incarnation=core.hard.incarnation,
                address=core.config.address,
                availability_zone=core.config.availability_zone,
                voter=False,
            ),
            echo_term=self._echo[0],
            echo_sent_at=self._echo[1],
        )
