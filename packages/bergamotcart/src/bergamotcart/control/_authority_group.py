"""Replacement of a primary through an external authority.

The authority promotes the instance that a call names. A call without an answer may take effect
seconds later. A group therefore stays in its phase until its decision is known to have taken
effect, and each decision has a larger fencing token than all decisions before it.

Some authorities check the token and demote the former primary at the same time. ``_unfenced_group``
has what is needed where they do neither.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import OpenGroup, PromoteGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._failure_detection import find_failover_reason, is_unreachable
from bergamotcart.control._frozen_group import count_primaries_by_zone, is_freeze_complete
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._open_group import (
    find_switchover_reason,
    propose_freeze,
    propose_freeze_unless_paused,
    publish_group_decision,
)
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._primary_choice import Candidate, choose_primary
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._switchover import advance_catch_up, poll_statuses
from bergamotcart.control._unfenced_group import (
    correct_other_primaries,
    find_settled_at,
    has_taken_over,
    is_unfenced,
    order_step_downs,
    replace_unsettled_choice,
)
from bergamotcart.control._write_coverage import describe_candidates, find_covering_candidates

POLL_INTERVAL_S: Final = 0.05
# Instances, also those of other regions, answer within a few milliseconds. One that has not
# answered after this time is not waited for.
POSITIONS_TIMEOUT_S: Final = 0.3
PROMOTE_REPEAT_S: Final = 0.5
# The authority completes a promotion within some hundred milliseconds of the call.
PROMOTION_TIMEOUT_S: Final = 5.0


def advance_authority_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    """Advance a group whose primary is promoted by an authority by one step of its phase.

    :param context: context of the current step.
    :param row: the group.
    :param progress: progress of the group.
    """
    match row.phase:
        case messages.GroupPhase.open:
            _advance_open_group(context, row, progress)
        case messages.GroupPhase.frozen:
            _advance_frozen_group(context, row, progress)
        case messages.GroupPhase.promoting:
            _advance_promoting_group(context, row, progress)


def _advance_open_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    reason = find_failover_reason(context, row, progress)
    if reason == 'primary_demoted':
        reason = _verify_demotion(context, row)
    reason = reason or find_switchover_reason(context, row, progress)
    if not reason and is_unfenced(context, row):
        reason = correct_other_primaries(context, row, progress)
    if reason:
        propose_freeze_unless_paused(context, row, progress, reason)
    else:
        progress.waiting_for = ''


def _verify_demotion(context: StepContext, row: messages.GroupRow) -> str:
    """Ask a primary that announced itself as a replica, since its announcement may be outdated.

    :returns: the reason for replacing the primary, or an empty string.
    """
    context.request_step_at(context.now + POLL_INTERVAL_S)
    status = poll_statuses(context, row, context.local.leader_since).get(row.primary or '')
    is_demoted = status is not None and status.role is not messages.TargetRole.primary
    return 'primary_demoted' if is_demoted else ''


def _advance_frozen_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    if not is_freeze_complete(context, row, progress):
        return
    if progress.freeze_completed_at is None:
        progress.freeze_completed_at = context.now
    context.request_step_at(context.now + POLL_INTERVAL_S)
    if not advance_catch_up(context, row, progress):
        return
    candidates = _collect_candidates(context, row, progress)
    if candidates:
        _propose_promotion(context, row, progress, candidates)


def _collect_candidates(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> list[Candidate]:
    """Return the instances to choose from, or none while answers are missing."""
    statuses = poll_statuses(context, row, progress.freeze_completed_at or context.now)
    instances = context.local.instances.list_group(row.name)
    missing = [
        instance.announcement.instance
        for instance in instances
        if instance.announcement.instance not in statuses
        and is_recently_announced(context, instance)
        and not is_unreachable(context, row.name, instance.announcement.instance)
    ]
    candidates = [
        Candidate(
            statuses[instance.announcement.instance],
            instance.announcement,
            is_recently_announced(context, instance),
        )
        for instance in instances
        if instance.announcement.instance in statuses
    ]
    progress.waiting_for = (
        f'the positions of {", ".join(missing)}' if missing else 'an instance to choose'
    )
    if (
        missing
        and context.now < (progress.freeze_completed_at or context.now) + POSITIONS_TIMEOUT_S
    ):
        return []
    is_first_primary = row.primary is None
    if is_first_primary and not any(_is_primary(candidate.status) for candidate in candidates):
        # Without a former primary, an instance that already serves as primary is the best choice,
        # so allow time for one to answer as primary.
        if missing or context.now < progress.phase_started_at + PROMOTION_TIMEOUT_S:
            return []
    return find_covering_candidates(context, row, progress, candidates)


def _propose_promotion(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> None:
    staying = [candidate for candidate in candidates if not candidate.announcement.leaving]
    chosen = choose_primary(
        staying or candidates, progress.required_position, count_primaries_by_zone(context, row)
    )
    serving_candidates = [candidate for candidate in candidates if _is_primary(candidate.status)]
    if row.primary is None and serving_candidates:
        chosen = max(serving_candidates, key=lambda candidate: candidate.position)
    if is_unfenced(context, row):
        settled = replace_unsettled_choice(context, row, progress, candidates, chosen)
        if settled is None:
            return
        chosen = settled
    else:
        progress.earlier_call_until = find_settled_at(context, row)
    command = PromoteGroup(
        group=row.name,
        frozen_term=row.term,
        term=row.term + 1,
        primary=chosen.status.instance,
        log_term=None,
        position=chosen.status.position,
        decided_by=context.configuration.name,
        decided_in=context.leadership.term,
    )
    if context.local.proposals.submit(f'group {row.name}', command, context.now):
        positions = describe_candidates(candidates)
        publish_group_decision(
            context, row, 'promote', 'highest_position', positions, command.primary
        )


def _advance_promoting_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    if (row.decided_by, row.decided_in) != (context.configuration.name, context.leadership.term):
        # A fencing token belongs to the member that decided, so a new leader must decide again.
        propose_freeze(context, row, 'decided_by_former_leader')
        return
    context.request_step_at(context.now + POLL_INTERVAL_S)
    statuses = poll_statuses(context, row, progress.phase_started_at)
    status = statuses.get(row.primary or '')
    has_settled = not _may_be_replaced_by_earlier_call(context, row, progress)
    is_serving = status is not None and _is_primary(status)
    if is_serving and has_settled and has_taken_over(context, row, statuses):
        order_step_downs(context, row, statuses)
        unanswered_at = context.local.orders.find_unanswered_promotion(row.name)
        command = OpenGroup(group=row.name, term=row.term, settled=unanswered_at is None)
        if context.local.proposals.submit(f'group {row.name}', command, context.now):
            publish_group_decision(context, row, 'open', 'primary_serves')
        return
    chosen = context.local.instances.find(row.name, row.primary or '')
    if chosen is None:
        progress.waiting_for = 'the address of the chosen instance'
        return
    progress.waiting_for = 'the promotion of the chosen instance'
    failure = _order_promotion(context, row, progress, chosen)
    if failure:
        propose_freeze(context, row, failure)


def _may_be_replaced_by_earlier_call(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> bool:
    """Tell whether a call for an earlier decision may replace the chosen instance after it serves.

    The chosen instance may serve since before this decision. Only a call that the authority has
    accepted shows that it knows this decision's token, with which it refuses earlier ones.
    """
    key = OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
    answer = context.local.orders.find_answer(key)
    is_accepted = answer is not None and answer.accepted
    return not is_accepted and context.now < progress.earlier_call_until


def _order_promotion(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress, chosen: KnownInstance
) -> str:
    """Ask the authority for the promotion.

    :returns: why another instance must be chosen, or an empty string.
    """
    key = OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
    answer = context.local.orders.find_answer(key)
    if answer is not None:
        if not answer.accepted:
            return 'promotion_refused'
        return (
            'promotion_failed'
            if context.now > progress.phase_started_at + PROMOTION_TIMEOUT_S
            else ''
        )
    order = context.local.orders.prepare_if_due(
        key,
        chosen.announcement,
        context.now,
        PROMOTE_REPEAT_S,
        promotion_row=row,
    )
    if order is not None:
        context.actions.append(order)
        publish_group_decision(
            context,
            row,
            'call_authority',
            'decision_committed',
            f'fencing token {row.modified_index}',
        )
    return 'chosen_unreachable' if is_unreachable(context, row.name, row.primary or '') else ''


def _is_primary(status: InstanceStatus) -> bool:
    return status.role is messages.TargetRole.primary
