"""Reports that control has no leader, and changes of the membership."""

from types import MappingProxyType
from typing import Final

from bergamotcart import consensus
from bergamotcart.actions import Decision
from bergamotcart.control._step_context import StepContext

# An election takes less time, so it is not reported.
_REPORT_AFTER_S: Final = 1.0
_REPORT_INTERVAL_S: Final = 5.0
_RECENT_CONTACT_S: Final = 1.0
_INCARNATION_DIGITS: Final = 8
_VOTES: Final = MappingProxyType({True: 'voter', False: 'no vote', None: 'initial member'})


class LeaderWatch:
    """Tells since when this member knows no leader, and why no election has succeeded."""

    __slots__ = ('_members', '_missing_since', '_node', '_report_at', '_reported')

    def __init__(self, now: float, node: consensus.ConsensusNode) -> None:
        """Start without a leader and without known members.

        :param now: monotonic time in seconds.
        :param node: replicated log of this member.
        """
        self._node = node
        self._members: tuple[object, ...] = ()
        self._missing_since: float | None = now
        self._report_at = now + _REPORT_AFTER_S
        self._reported = False

    def seconds_without_leader(self, now: float) -> float:
        """Return the seconds for which this member has known no leader; 0 if it knows one."""
        return 0.0 if self._missing_since is None else max(0.0, now - self._missing_since)

    def update(self, context: StepContext) -> None:
        """Report changes of the membership and of the presence of a leader."""
        if self._node.members and self._members != self._node.members:
            self._members = self._node.members
            self._publish(context, 'members', 'list', 'changed', self._describe_members())
        if self._has_leader(context):
            self._record_leader(context)
        else:
            self._record_missing_leader(context)

    def _has_leader(self, context: StepContext) -> bool:
        if self._node.role == consensus.Role.leader:
            return context.leadership.may_act_as_leader
        return self._node.leader is not None

    def _record_leader(self, context: StepContext) -> None:
        if self._reported:
            duration = self.seconds_without_leader(context.now)
            detail = f'{self._node.leader} leads after {duration:.1f} s without a leader'
            self._publish(context, 'election', 'find_leader', 'elected', detail)
        self._missing_since = None
        self._reported = False

    def _record_missing_leader(self, context: StepContext) -> None:
        if self._missing_since is None:
            self._missing_since = context.now
            self._report_at = context.now + _REPORT_AFTER_S
        if context.now < self._report_at:
            return
        self._report_at = context.now + _REPORT_INTERVAL_S
        self._reported = True
        duration = self.seconds_without_leader(context.now)
        contacts = ', '.join(_describe_contact(context.now, it) for it in self._node.contacts)
        detail = f'{self._node.role.value} for {duration:.1f} s without a leader; {contacts}'
        self._publish(context, 'election', 'lack_leader', self._find_reason(context), detail)

    def _find_reason(self, context: StepContext) -> str:
        """Return why no leader can act: the nearest cause that this member knows of."""
        if self._node.role == consensus.Role.leader:
            return context.leadership.reason
        if not self._node.members:
            return 'not_formed' if self._node.may_form_group else 'may_not_form'
        if not self._node.is_voter:
            return 'not_a_voter'
        voters = [contact for contact in self._node.contacts if contact.voter]
        heard = sum(_is_recent(context.now, contact) for contact in voters)
        return 'no_majority_grants' if 2 * heard > len(voters) else 'no_majority_heard'

    def _describe_members(self) -> str:
        return ', '.join(_describe_member(contact) for contact in self._node.contacts)

    def _publish(
        self, context: StepContext, system: str, action: str, reason: str, detail: str
    ) -> None:
        decision = Decision(
            system=system, action=action, reason=reason, term=self._node.term, detail=detail
        )
        context.publish_decision(decision)


def _is_recent(now: float, contact: consensus.MemberContact) -> bool:
    heard_at = contact.heard_at
    return contact.is_self or (heard_at is not None and now - heard_at <= _RECENT_CONTACT_S)


def _describe_member(contact: consensus.MemberContact) -> str:
    incarnation = contact.incarnation[:_INCARNATION_DIGITS] or 'unknown'
    return f'{contact.name}/{incarnation} {_VOTES[contact.voter]}'


def _describe_contact(now: float, contact: consensus.MemberContact) -> str:
    """Describe when a member was last heard of, and what it answered to the last candidacy."""
    member = _describe_member(contact)
    if contact.is_self:
        return f'{member} (this member)'
    heard = 'never heard'
    if contact.heard_at is not None:
        heard = f'heard {now - contact.heard_at:.1f} s ago'
    answer = contact.vote_answer or 'no answer to a vote request'
    return f'{member} ({heard}; {answer})'
