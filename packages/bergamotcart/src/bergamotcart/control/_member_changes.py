"""Changes of the membership of the replicated log, one at a time."""

import enum

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.consensus import ConsensusNode
from bergamotcart.control._tick import Tick


@enum.unique
class MemberAction(enum.StrEnum):
    """What an operator does with a member."""

    admit = 'admit'
    remove = 'remove'
    replace = 'replace'


class MemberRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to change the members.

    :param name: member to admit, remove or replace.
    :param replacement: name of the newcomer that takes its place.
    """

    action: MemberAction
    name: str
    replacement: str = ''


class MemberChanges:
    """Admits newcomers without a vote; they get it by themselves once they have caught up."""

    __slots__ = ('_node',)

    def __init__(self, node: ConsensusNode) -> None:
        """Use the replicated log of this member."""
        self._node = node

    def find_refusal(self, query: MemberRequest) -> str:
        """Return why a change of members is refused, or an empty string."""
        name = query.name
        known = any(member.name == name for member in self._node.members)
        newcomer = query.name if query.action == MemberAction.admit else query.replacement
        if query.action == MemberAction.admit and known and self._find_newcomer(name) is None:
            return f'{name!r} is a member already'
        if query.action != MemberAction.admit and not known:
            return f'{name!r} is not a member'
        if query.action != MemberAction.admit and name == self._node.leader:
            return f'{name!r} leads; stop it first, so that another member leads'
        if query.action != MemberAction.remove and self._find_newcomer(newcomer) is None:
            return f'no newcomer {newcomer!r} has reported itself'
        return ''

    def propose(self, tick: Tick, query: MemberRequest) -> int | None:
        """Propose a change that ``find_refusal`` allows.

        :param tick: the current tick.
        :param query: the change.
        :returns: its log index, or ``None`` if another change is not committed yet.
        """
        kept = [member for member in self._node.members if member.name != query.name]
        newcomer = self._find_newcomer(query.replacement or query.name)
        if newcomer is not None and query.action != MemberAction.remove:
            kept.append(newcomer)
        index = self._node.propose_members(tick.now, tuple(kept))
        reason = 'operator' if index else 'another_change_is_pending'
        _decide(tick, f'{query.action.value}_member', reason, query.name)
        return index

    def readmit(self, tick: Tick) -> None:
        """Advance the return of emptied members and the vote of newcomers."""
        members = self._node.find_readmission(tick.now)
        if members is None:
            return
        before = {(member.name, member.incarnation, member.voter) for member in self._node.members}
        if self._node.propose_members(tick.now, members) is None:
            return
        after = {(member.name, member.incarnation, member.voter) for member in members}
        for name, _, is_voter in after - before:
            _decide(tick, 'change_member', 'caught_up' if is_voter else 'no_vote', name)
        for gone in {member[0] for member in before} - {member[0] for member in after}:
            _decide(tick, 'change_member', 'forgotten', gone)

    def _find_newcomer(self, name: str) -> messages.LogMember | None:
        for member in self._node.newcomers:
            if member.name == name:
                return member
        return None


def _decide(tick: Tick, action: str, reason: str, member: str) -> None:
    tick.decide(Decision(system='members', action=action, reason=reason, detail=member))
