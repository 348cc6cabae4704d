"""Switchover (planned replacement): a replica catches up before the leaving primary is stopped."""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._failure_detection import is_unreachable, receives_no_requests
from bergamotcart.control._group_progress import GroupProgress, OneTimeDecision
from bergamotcart.control._open_group import publish_group_decision
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._step_context import StepContext
from bergamotcart.discovery import Position

STATUS_POLL_INTERVAL_S: Final = 0.05
# Writes to the group wait during this time, so a replica that needs longer is not waited for.
CATCH_UP_TIMEOUT_S: Final = 5.0


def advance_catch_up(context: StepContext, row: messages.GroupRow, progress: GroupProgress) -> bool:
    """Let a replica catch up with a leaving primary, and tell whether the instances may be stopped.

    :param context: context of the current step.
    :param row: a frozen group in which no entry can write any more.
    :param progress: progress of the group.
    :returns: whether a replica has caught up, or no replica needs to be waited for.
    """
    if progress.catch_up_finished or not _is_switchover(context, row):
        return True
    statuses = poll_statuses(context, row, progress.freeze_completed_at or context.now)
    primary = statuses.get(row.primary or '')
    if primary is not None and primary.role != messages.TargetRole.primary:
        progress.catch_up_finished = True
        return True
    if primary is not None and progress.required_position is None:
        progress.required_position = Position(primary.log_term, primary.position)
    if progress.required_position is not None:
        progress.successor = _find_successor(context, row, progress.required_position, statuses)
    progress.catch_up_finished = progress.successor is not None
    if (
        not progress.catch_up_finished
        and context.now > progress.phase_started_at + CATCH_UP_TIMEOUT_S
    ):
        progress.catch_up_finished = True
        publish_group_decision(context, row, 'stop_instances', OneTimeDecision.catch_up_given_up)
    progress.waiting_for = 'a replica to catch up with the leaving primary'
    return progress.catch_up_finished


def poll_statuses(
    context: StepContext,
    row: messages.GroupRow,
    asked_since: float,
) -> dict[str, InstanceStatus]:
    """Ask the instances of a group for their status.

    :param context: context of the current step.
    :param row: the group.
    :param asked_since: time in seconds; answers to orders that were sent earlier do not count.
    :returns: the newest answers by instance.
    """
    statuses: dict[str, InstanceStatus] = {}
    for known_instance in context.local.instances.list_group(row.name):
        instance = known_instance.announcement.instance
        key = OrderKey(OrderKind.status, row.name, instance, row.term)
        order = context.local.orders.prepare_if_due(
            key, known_instance.announcement, context.now, STATUS_POLL_INTERVAL_S
        )
        if order is not None:
            context.actions.append(order)
        status = context.local.orders.find_answer_since(key, asked_since)
        if status is not None:
            statuses[instance] = status
    return statuses


def _is_switchover(context: StepContext, row: messages.GroupRow) -> bool:
    if not receives_no_requests(context, row.name, row.primary):
        return False
    return not is_unreachable(context, row.name, row.primary or '')


def _find_successor(
    context: StepContext,
    row: messages.GroupRow,
    required_position: Position,
    statuses: dict[str, InstanceStatus],
) -> str | None:
    """Return an instance that has caught up and is not leaving, or ``None``."""
    return next(
        (
            instance
            for instance, status in statuses.items()
            if Position(status.log_term, status.position) >= required_position
            and instance != row.primary
            and not receives_no_requests(context, row.name, instance)
        ),
        None,
    )
