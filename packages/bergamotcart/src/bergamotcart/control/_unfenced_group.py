"""Groups whose authority neither demotes a replaced primary nor checks fencing tokens.

Only the leases of the entries keep such a primary from serving, so the group is frozen before any
promotion. The former primary goes on until it is ordered to step down. A call of the authority
without an answer may take effect after newer ones, so no call for another instance is made before
it can no longer do so.
"""

from collections.abc import Mapping
from typing import Final

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._failure_detection import is_unreachable
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._open_group import publish_group_decision
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._primary_choice import Candidate
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._switchover import poll_statuses
from bergamotcart.documents import Fencing

# The authority drops a call that it could not carry out within this time.
LATE_CALL_S: Final = 12.0
# Instances announce themselves about once a second, and at once when their role changes.
CLAIM_EXPIRY_S: Final = 3.0
STEP_DOWN_REPEAT_S: Final = 1.0
_CHECK_INTERVAL_S: Final = 0.05


def is_unfenced(context: StepContext, row: messages.GroupRow) -> bool:
    """Tell whether only leases stop a replaced primary of a group."""
    return context.document.groups[row.name].fencing is Fencing.leases


def correct_other_primaries(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> str:
    """Order other instances that serve as primary to step down.

    :param context: context of the current step.
    :param row: an open group.
    :param progress: progress of the group.
    :returns: the reason for replacing the primary if another instance has a newer term, which a
        late call of the authority may cause; otherwise an empty string.
    """
    opened_at = max(context.local.leader_since, progress.opened_at or 0)
    if not any(
        _claims_lead(context, row, known_instance, opened_at)
        for known_instance in context.local.instances.list_group(row.name)
    ):
        return ''
    context.request_step_at(context.now + _CHECK_INTERVAL_S)
    statuses = poll_statuses(context, row, opened_at)
    primary = statuses.get(row.primary or '')
    if primary is None:
        return ''
    for status in statuses.values():
        if _is_primary(status) and status.term > primary.term:
            return 'newer_primary'
    order_step_downs(context, row, statuses)
    return ''


def order_step_downs(
    context: StepContext, row: messages.GroupRow, statuses: Mapping[str, InstanceStatus]
) -> None:
    """Order the instances that serve as primary of an earlier term to step down.

    :param context: context of the current step.
    :param row: a group whose primary has taken over.
    :param statuses: newest status of each instance that answered, with that of the primary.
    """
    primary = statuses[row.primary or '']
    for known_instance in context.local.instances.list_group(row.name):
        status = statuses.get(known_instance.announcement.instance)
        if status is None or not _is_primary(status) or status.term >= primary.term:
            continue
        key = OrderKey(OrderKind.step_down, row.name, status.instance, primary.term)
        order = context.local.orders.prepare_if_due(
            key, known_instance.announcement, context.now, STEP_DOWN_REPEAT_S
        )
        if order is not None:
            context.actions.append(order)
            publish_group_decision(
                context,
                row,
                'order_step_down',
                'former_primary',
                f'term {status.term}, newest term {primary.term}',
                status.instance,
            )


def has_taken_over(
    context: StepContext, row: messages.GroupRow, statuses: Mapping[str, InstanceStatus]
) -> bool:
    """Tell whether the chosen instance, which serves as primary, does so by the newest promotion.

    A former primary that nobody has ordered to step down serves as primary of an earlier term.

    :param context: context of the current step.
    :param row: a promoting group.
    :param statuses: newest status of each instance that answered, with that of the chosen one.
    """
    if not is_unfenced(context, row):
        return True
    term = statuses[row.primary or ''].term
    if context.local.orders.is_promotion_in_flight(row.name):
        # Its answer, if there is one, spares the next leader the wait for a late effect.
        return False
    if any(_is_primary(status) and status.term > term for status in statuses.values()):
        return False
    key = OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
    answer = context.local.orders.find_answer(key)
    if answer is not None and answer.accepted:
        return True
    # Without an answer of the authority, only the terms of all instances show it.
    return all(status.term <= term for status in statuses.values()) and all(
        known_instance.announcement.instance in statuses
        for known_instance in context.local.instances.list_group(row.name)
        if is_recently_announced(context, known_instance)
    )


def replace_unsettled_choice(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
    chosen: Candidate,
) -> Candidate | None:
    """Return the instance to promote while an earlier call of the authority may take effect.

    :param context: context of the current step.
    :param row: a frozen group.
    :param progress: progress of the group.
    :param candidates: the instances that may be promoted.
    :param chosen: the best of them.
    :returns: the instance that already leads the newest term, else the instance of the earlier
        call, else ``None`` until that call can no longer take effect.
    """
    chosen = _find_newest_lead(row, candidates) or chosen
    settled_at = find_settled_at(context, row)
    if chosen.status.instance == row.primary or context.now >= settled_at:
        return chosen
    for candidate in candidates:
        instance = candidate.status.instance
        is_eligible = candidate.receives_requests and not is_unreachable(
            context, row.name, instance
        )
        if instance == row.primary and is_eligible:
            return candidate
    progress.waiting_for = 'an earlier call of the authority to take effect or to expire'
    context.request_step_at(settled_at)
    return None


def _find_newest_lead(row: messages.GroupRow, candidates: list[Candidate]) -> Candidate | None:
    """Return the instance that leads a newer term than all others although nobody chose it."""
    newest = max(candidates, key=lambda candidate: candidate.status.term)
    is_alone = all(
        candidate is newest or candidate.status.term < newest.status.term
        for candidate in candidates
    )
    is_lead = _is_primary(newest.status) and newest.status.instance != row.primary
    return newest if is_lead and is_alone and newest.receives_requests else None


def find_settled_at(context: StepContext, row: messages.GroupRow) -> float:
    """Return the time in seconds from which no call for an earlier decision can take effect.

    :param context: context of the current step.
    :param row: a frozen group.
    """
    if not row.promotion_unsettled:
        return float('-inf')
    if (row.decided_by, row.decided_in) != (context.configuration.name, context.leadership.term):
        # The former leader may have sent its last call just before this member was elected.
        return context.local.leader_since + LATE_CALL_S
    unanswered_at = context.local.orders.find_unanswered_promotion(row.name)
    return float('-inf') if unanswered_at is None else unanswered_at + LATE_CALL_S


def _claims_lead(
    context: StepContext,
    row: messages.GroupRow,
    known_instance: KnownInstance,
    opened_at: float,
) -> bool:
    announcement = known_instance.announcement
    is_other_primary = (
        announcement.instance != row.primary and announcement.role is messages.TargetRole.primary
    )
    claimed_after = max(opened_at, context.now - CLAIM_EXPIRY_S)
    return is_other_primary and known_instance.sent_after > claimed_after


def _is_primary(status: InstanceStatus) -> bool:
    return status.role is messages.TargetRole.primary
