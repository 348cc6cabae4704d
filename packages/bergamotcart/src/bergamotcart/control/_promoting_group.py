"""Promoting phase of a group: promotes the chosen instance and opens the group."""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import OpenGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._failure_detection import is_unreachable
from bergamotcart.control._group_progress import GroupProgress, OneTimeDecision
from bergamotcart.control._known_instances import KnownInstance
from bergamotcart.control._open_group import (
    find_newer_term_reason,
    propose_freeze,
    publish_group_decision,
)
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._switchover import poll_statuses
from bergamotcart.documents import InsufficientInstances

POLL_INTERVAL_S: Final = 0.05
PROMOTE_REPEAT_S: Final = 0.2
FOLLOW_REPEAT_S: Final = 0.5


def advance_promoting_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    """Order the promotion and the replicas, and open the group once its log is replicated.

    :param context: context of the current step.
    :param row: a group in the promoting phase.
    :param progress: progress of the group.
    """
    context.request_step_at(context.now + POLL_INTERVAL_S)
    chosen = context.local.instances.find(row.name, row.primary or '')
    if chosen is None:
        progress.waiting_for = 'the address of the chosen instance'
        return
    _order_replicas_to_follow(context, row, chosen)
    status = _order_promotion(context, row, chosen)
    failure = _find_promotion_failure(context, row, status) or find_newer_term_reason(context, row)
    if failure:
        propose_freeze(context, row, failure)
    elif status is None:
        progress.waiting_for = 'the promotion of the chosen instance'
    else:
        _open_when_replicated(context, row, progress)


def _order_promotion(
    context: StepContext, row: messages.GroupRow, chosen: KnownInstance
) -> InstanceStatus | None:
    key = _make_promote_key(row)
    status = context.local.orders.find_answer(key)
    if status is not None and status.role == messages.TargetRole.primary:
        return status
    order = context.local.orders.prepare_if_due(
        key, chosen.announcement, context.now, PROMOTE_REPEAT_S
    )
    if order is not None:
        context.actions.append(order)
    return status if status is not None and not status.accepted else None


def _find_promotion_failure(
    context: StepContext,
    row: messages.GroupRow,
    status: InstanceStatus | None,
) -> str:
    if status is not None:
        return '' if status.accepted else 'promotion_refused'
    order_state = context.local.orders.find(_make_promote_key(row))
    if order_state is not None and order_state.failed_since is not None:
        if context.now - order_state.failed_since >= context.configuration.silence_timeout_s:
            return 'promotion_failed'
    return 'chosen_unreachable' if is_unreachable(context, row.name, row.primary or '') else ''


def _order_replicas_to_follow(
    context: StepContext, row: messages.GroupRow, primary: KnownInstance
) -> None:
    for replica in context.local.instances.list_group(row.name):
        instance = replica.announcement.instance
        if instance == row.primary:
            continue
        key = OrderKey(OrderKind.follow, row.name, instance, row.term)
        order = context.local.orders.prepare_if_due(
            key,
            replica.announcement,
            context.now,
            FOLLOW_REPEAT_S,
            primary.announcement,
        )
        if order is not None:
            context.actions.append(order)


def _open_when_replicated(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    promotion = context.local.orders.find(_make_promote_key(row))
    answered_at = promotion.answered_at if promotion else None
    statuses = poll_statuses(context, row, answered_at or context.now)
    chosen_status = statuses.get(row.primary or '')
    if chosen_status is not None and chosen_status.role != messages.TargetRole.primary:
        # The instance restarted after its promotion. Without a new term, its former answer would
        # count for ever, and the promotion would not be ordered again.
        propose_freeze(context, row, 'chosen_demoted')
        return
    reason = _find_opening_reason(context, row, progress, statuses)
    if not reason:
        progress.waiting_for = 'a replica to store the first record of the new term'
        return
    command = OpenGroup(group=row.name, term=row.term)
    if context.local.proposals.submit(f'group {row.name}', command, context.now):
        publish_group_decision(context, row, 'open', reason)


def _find_opening_reason(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    statuses: dict[str, InstanceStatus],
) -> str:
    """Return the reason why a group may open, or an empty string.

    If it opened before a replica has a record of the new term, a later choice of a primary could
    prefer the longer log of the deposed primary.
    """
    settings = context.document.groups[row.name]
    if settings.instances == 1:
        return 'single_instance'
    for instance, status in statuses.items():
        if instance != row.primary and status.log_term >= row.term:
            return 'replica_has_first_record'
    waited = context.now - progress.phase_started_at >= settings.promotion_wait_s
    if waited and settings.insufficient_instances == InsufficientInstances.accept_loss:
        return 'loss_accepted_without_replica'
    if waited and progress.mark_published(OneTimeDecision.waiting_for_replica):
        publish_group_decision(context, row, 'wait', OneTimeDecision.waiting_for_replica)
    return ''


def _make_promote_key(row: messages.GroupRow) -> OrderKey:
    return OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
