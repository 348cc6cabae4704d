"""Open phase of a group: detects lost or leaving primaries, and corrects stray instances.

A stray instance acts as primary although it is not, or does not follow the primary.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._commands import FreezeGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._failure_detection import (
    find_failover_reason,
    is_leaving,
    receives_no_requests,
)
from bergamotcart.control._group_progress import GroupProgress, OneTimeDecision
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._step_context import StepContext
from bergamotcart.discovery import Position

# An order to follow shows in the next announcement of the instance, about a second later.
FOLLOW_REPEAT_S: Final = 1.5


def advance_open_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    """Freeze a group if its primary must be replaced, else order stray instances to follow it.

    :param context: context of the current step.
    :param row: an open group.
    :param progress: progress of the group.
    """
    reason = find_failover_reason(context, row, progress) or find_switchover_reason(
        context, row, progress
    )
    reason = reason or find_newer_term_reason(context, row)
    if not reason:
        progress.waiting_for = ''
        order_strays_to_follow(context, row)
        return
    propose_freeze_unless_paused(context, row, progress, reason)


def propose_freeze_unless_paused(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    reason: str,
) -> None:
    """Propose to freeze a group, unless the document has paused its failover.

    If it is paused, this publishes once that the primary is kept.

    :param context: context of the current step.
    :param row: an open group.
    :param progress: progress of the group.
    :param reason: why its primary should be replaced.
    """
    if not context.document.is_failover_paused(row.name):
        propose_freeze(context, row, reason)
        return
    progress.waiting_for = 'failover is paused by the document'
    if progress.mark_published(OneTimeDecision.paused):
        publish_group_decision(context, row, 'keep_primary', 'failover_paused', reason)


def propose_freeze(context: StepContext, row: messages.GroupRow, reason: str) -> None:
    """Propose to stop writes to a group.

    :param context: context of the current step.
    :param row: an open or promoting group.
    :param reason: why its primary is replaced.
    """
    command = FreezeGroup(group=row.name, term=row.term)
    if context.local.proposals.submit(f'group {row.name}', command, context.now):
        publish_group_decision(context, row, 'freeze', reason)


def publish_group_decision(
    context: StepContext,
    row: messages.GroupRow,
    action: str,
    reason: str,
    detail: str = '',
    target: str | None = None,
) -> None:
    """Publish a decision about a group.

    :param context: context of the current step.
    :param row: the group.
    :param action: what is done.
    :param reason: why it is done.
    :param detail: text for operators.
    :param target: instance concerned, or ``None`` for the primary.
    """
    context.publish_decision(
        Decision(
            system='failover',
            action=action,
            reason=reason,
            group=row.name,
            term=row.term,
            target=target or row.primary,
            detail=detail,
        )
    )


def order_strays_to_follow(context: StepContext, row: messages.GroupRow) -> None:
    """Order each stray instance to follow the primary."""
    primary = context.local.instances.find(row.name, row.primary or '')
    if primary is None:
        return
    for known_instance in context.local.instances.list_group(row.name):
        announcement = known_instance.announcement
        is_other = announcement.instance != row.primary and is_recently_announced(
            context, known_instance
        )
        if is_other and _is_stray(announcement, row):
            _order_stray_to_follow(context, row, announcement, primary.announcement)


def report_discarded_records(context: StepContext, key: OrderKey, status: InstanceStatus) -> None:
    """Report the records that an instance must discard to follow the primary.

    :param context: context of the current step.
    :param key: an answered order; only orders to follow are considered.
    :param status: the answer.
    """
    row = context.state.groups.get(key.group)
    if row is not None and key.kind == OrderKind.follow:
        _report_discarded_records(
            context, row, key.instance, Position(status.log_term, status.position)
        )


def find_newer_term_reason(context: StepContext, row: messages.GroupRow) -> str:
    """Return the reason to raise a group's term, or an empty string.

    The term must be raised if an instance refuses to follow because it knows a newer one.
    """
    for known_instance in context.local.instances.list_group(row.name):
        instance = known_instance.announcement.instance
        key = OrderKey(OrderKind.follow, row.name, instance, row.term)
        status = context.local.orders.find_answer(key)
        if status is not None and not status.accepted and status.term > row.term:
            return 'newer_term_seen'
    return ''


def find_switchover_reason(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> str:
    """Return the reason to replace a primary that gets no requests any more, or an empty string.

    If no other instance can succeed it, the primary is kept and this is published once.
    """
    if not receives_no_requests(context, row.name, row.primary):
        return ''
    reason = 'primary_leaving'
    if not is_leaving(context, row.name, row.primary):
        reason = 'primary_not_announced'
    if any(
        _is_possible_successor(context, row, candidate)
        for candidate in context.local.instances.list_group(row.name)
    ):
        return reason
    if progress.mark_published(OneTimeDecision.no_successor):
        publish_group_decision(context, row, 'keep_primary', 'no_successor', reason)
    return ''


def _is_possible_successor(
    context: StepContext, row: messages.GroupRow, candidate: KnownInstance
) -> bool:
    announcement = candidate.announcement
    is_staying_replica = announcement.instance != row.primary and not announcement.leaving
    return is_staying_replica and is_recently_announced(context, candidate)


def _is_stray(announcement: messages.Announcement, row: messages.GroupRow) -> bool:
    if announcement.role == messages.TargetRole.primary:
        return True
    return announcement.following != row.primary or announcement.term < row.term


def _report_discarded_records(
    context: StepContext,
    row: messages.GroupRow,
    instance: str,
    last: Position,
) -> None:
    kept_position = dict(row.branch_points).get(last.log_term)
    if kept_position is not None and last.position > kept_position:
        detail = f'position {last.position} of log term {last.log_term}, kept up to {kept_position}'
        publish_group_decision(context, row, 'report_positions', 'discarded', detail, instance)


def _order_stray_to_follow(
    context: StepContext,
    row: messages.GroupRow,
    stray: messages.Announcement,
    primary: messages.Announcement,
) -> None:
    key = OrderKey(OrderKind.follow, row.name, stray.instance, row.term)
    order = context.local.orders.prepare_if_due(key, stray, context.now, FOLLOW_REPEAT_S, primary)
    if order is None:
        return
    context.actions.append(order)
    is_deposed = stray.role == messages.TargetRole.primary
    reason = 'deposed_primary' if is_deposed else 'stray_replica'
    publish_group_decision(context, row, 'order_follow', reason, target=stray.instance)
    _report_discarded_records(
        context, row, stray.instance, Position(stray.log_term, stray.position)
    )
