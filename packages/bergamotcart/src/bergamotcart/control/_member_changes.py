"""Changes of the membership of the replicated log, proposed one at a time."""

import enum

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.consensus import ConsensusNode
from bergamotcart.control._step_context import StepContext


@enum.unique
class MemberAction(enum.StrEnum):
    """Kind of a change of members that an operator requests."""

    admit = 'admit'
    remove = 'remove'
    replace = 'replace'


class MemberRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to change the members.

    :param name: member to admit, remove or replace.
    :param replacement: name of the newcomer that replaces the member.
    """

    action: MemberAction
    name: str
    replacement: str = ''


class MemberChanges:
    """Proposes changes of the members.

    Newcomers are admitted without a vote and become voters automatically once their log has
    caught up.
    """

    __slots__ = ('_node',)

    def __init__(self, node: ConsensusNode) -> None:
        """Create the proposer of member changes.

        :param node: replicated log of this member.
        """
        self._node = node

    def find_refusal(self, request: MemberRequest) -> str:
        """Return the reason to refuse a change of members, or an empty string."""
        name = request.name
        known = any(member.name == name for member in self._node.members)
        newcomer = request.name if request.action == MemberAction.admit else request.replacement
        if request.action == MemberAction.admit and known and self._find_newcomer(name) is None:
            return f'{name!r} is already a member'
        if request.action != MemberAction.admit and not known:
            return f'{name!r} is not a member'
        if request.action != MemberAction.admit and name == self._node.leader:
            return f'{name!r} is the leader; stop it first so that another member takes over'
        if request.action != MemberAction.remove and self._find_newcomer(newcomer) is None:
            return f'no new member {newcomer!r} has asked to join'
        return ''

    def propose(self, context: StepContext, request: MemberRequest) -> int | None:
        """Propose a change that ``find_refusal`` allows.

        :param context: context of the current step.
        :param request: the requested change.
        :returns: log index of the proposal, or ``None`` if another change is not committed yet.
        """
        kept = [member for member in self._node.members if member.name != request.name]
        newcomer = self._find_newcomer(request.replacement or request.name)
        if newcomer is not None and request.action != MemberAction.remove:
            kept.append(newcomer)
        index = self._node.propose_members(context.now, tuple(kept))
        reason = 'operator' if index else 'another_change_is_pending'
        _publish_decision(context, f'{request.action.value}_member', reason, request.name)
        return index

    def propose_readmission(self, context: StepContext) -> None:
        """Propose the next automatic change of members, if one is due.

        Such a change admits a member that restarted with an empty disk again, without a vote,
        or makes a member that has caught up a voter. With ``tolerated_losses`` it may also
        admit newcomers and remove members that are gone. It also corrects addresses and zones.
        """
        members = self._node.find_readmission(context.now)
        if members is None:
            return
        known = self._node.members
        before = {(member.name, member.incarnation, member.voter) for member in known}
        if self._node.propose_members(context.now, members) is None:
            return
        after = {(member.name, member.incarnation, member.voter) for member in members}
        for name, _, is_voter in after - before:
            _publish_decision(
                context, 'change_member', 'caught_up' if is_voter else 'no_vote', name
            )
        if before == after:
            for corrected in set(members).difference(known):
                _publish_decision(context, 'change_member', 'corrected', corrected.name)
        for removed in {member[0] for member in before} - {member[0] for member in after}:
            _publish_decision(context, 'change_member', 'forgotten', removed)

    def _find_newcomer(self, name: str) -> messages.LogMember | None:
        for member in self._node.newcomers:
            if member.name == name:
                return member
        return None


def _publish_decision(context: StepContext, action: str, reason: str, member: str) -> None:
    context.publish_decision(
        Decision(system='members', action=action, reason=reason, detail=member)
    )
