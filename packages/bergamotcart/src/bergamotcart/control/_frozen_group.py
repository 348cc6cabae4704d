"""Frozen phase of a group: waits for leases, collects positions and chooses a primary."""

from collections import Counter
from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import HoldGroup, PromoteGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_progress import GroupProgress, OneTimeDecision
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._open_group import publish_group_decision
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._primary_choice import Candidate, choose_primary, count_required_answers
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._switchover import advance_catch_up
from bergamotcart.documents import InsufficientInstances

POLL_INTERVAL_S: Final = 0.05
# Instances that announced themselves within this time are counted, even if the document states
# fewer.
RECENT_INSTANCE_S: Final = 60.0
NEVER_REPEAT_S: Final = float('inf')
# The answer of a successor that has caught up is waited for, since the leaving primary would be
# chosen without it. If the successor has crashed meanwhile, the group must not wait for long.
_SUCCESSOR_TIMEOUT_S: Final = 1.0


def advance_frozen_group(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> None:
    """Advance a frozen group by one step.

    :param context: context of the current step.
    :param row: a group in the frozen phase.
    :param progress: progress of the group.
    """
    if not is_freeze_complete(context, row, progress):
        return
    if progress.freeze_completed_at is None:
        progress.freeze_completed_at = context.now
    context.request_step_at(context.now + POLL_INTERVAL_S)
    if not advance_catch_up(context, row, progress):
        return
    if progress.stop_started_at is None:
        progress.stop_started_at = context.now
    candidates = _collect_candidates(context, row, progress)
    if _has_enough_candidates(context, row, progress, candidates):
        _propose_promotion(context, row, progress, candidates)


def is_freeze_complete(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> bool:
    """Tell whether no entry sends requests to the primary of a frozen group any more.

    An entry has stopped once it has applied the freeze or its lease has ended.

    :param context: context of the current step.
    :param row: a group in the frozen phase.
    :param progress: progress of the group.
    """
    if progress.freeze_completed_at is not None:
        return True
    entries = context.local.entries
    waiting = [
        entry
        for entry in context.state.roster()
        if entries.applied_index(entry) < context.state.frozen_index
        and entries.lease_end(entry) >= context.now
    ]
    if not waiting:
        return True
    entry_names = ', '.join(sorted({entry.name for entry in waiting}))
    progress.waiting_for = f'the leases of {entry_names}'
    if progress.mark_published(OneTimeDecision.waiting_for_leases):
        publish_group_decision(context, row, 'wait', 'leases_possible', entry_names)
    for entry in waiting:
        context.request_step_at(entries.lease_end(entry) + POLL_INTERVAL_S / 10)
    return False


def _collect_candidates(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> list[Candidate]:
    instances = context.local.instances.list_group(row.name)
    for known_instance in instances:
        key = _make_stop_following_key(row, progress, known_instance)
        order = context.local.orders.prepare_if_due(
            key, known_instance.announcement, context.now, NEVER_REPEAT_S
        )
        if order is not None:
            context.actions.append(order)
    answers = [
        (
            instance,
            context.local.orders.find_answer(_make_stop_following_key(row, progress, instance)),
        )
        for instance in instances
    ]
    if any(_raise_term_if_newer(context, row, progress, status) for _, status in answers):
        return []
    return [
        Candidate(status, instance.announcement, is_recently_announced(context, instance))
        for instance, status in answers
        if status is not None and status.accepted
    ]


def _raise_term_if_newer(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    status: InstanceStatus | None,
) -> bool:
    """Raise the proposed term if an instance refused an order because it knows a newer term.

    The newer term may come from a promotion attempt of a former leader that was not committed.

    :returns: whether the term was raised.
    """
    if status is None or status.accepted or status.term < progress.proposed_term:
        return False
    progress.proposed_term = status.term + 1
    publish_group_decision(context, row, 'raise_term', 'newer_term_seen', target=status.instance)
    context.request_step_at(context.now)
    return True


def _has_enough_candidates(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> bool:
    settings = context.document.groups[row.name]
    required = count_required_answers(
        max(settings.instances, _count_recent_instances(context, row))
    )
    if len(candidates) >= required:
        return not _is_successor_awaited(context, progress, candidates)
    progress.waiting_for = (
        f'{required} instances to answer, of which {len(candidates)} have answered'
    )
    if context.now < progress.phase_started_at + settings.promotion_wait_s:
        return False
    if settings.insufficient_instances == InsufficientInstances.accept_loss:
        if candidates and progress.mark_published(OneTimeDecision.too_few_instances):
            publish_group_decision(
                context, row, 'accept_loss', 'too_few_instances', progress.waiting_for
            )
        return bool(candidates)
    if not row.read_only:
        command = HoldGroup(group=row.name, term=row.term)
        if context.local.proposals.submit(_make_proposal_key(row), command, context.now):
            publish_group_decision(
                context, row, 'stay_read_only', 'too_few_instances', progress.waiting_for
            )
    return False


def _is_successor_awaited(
    context: StepContext, progress: GroupProgress, candidates: list[Candidate]
) -> bool:
    answered = {candidate.status.instance for candidate in candidates}
    if progress.successor is None or progress.successor in answered:
        return False
    progress.waiting_for = f'the answer of {progress.successor}, which has caught up'
    stop_started_at = progress.stop_started_at or context.now
    return context.now < stop_started_at + _SUCCESSOR_TIMEOUT_S


def _count_recent_instances(context: StepContext, row: messages.GroupRow) -> int:
    return sum(
        context.now - instance.sent_after < RECENT_INSTANCE_S
        for instance in context.local.instances.list_group(row.name)
    )


def _propose_promotion(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> None:
    chosen = choose_primary(
        candidates, progress.required_position, count_primaries_by_zone(context, row)
    )
    command = PromoteGroup(
        group=row.name,
        frozen_term=row.term,
        term=progress.proposed_term,
        primary=chosen.status.instance,
        log_term=chosen.status.log_term,
        position=chosen.status.position,
    )
    if context.local.proposals.submit(_make_proposal_key(row), command, context.now):
        answers = ', '.join(
            f'{candidate.status.instance} at {candidate.status.log_term}/'
            f'{candidate.status.position}'
            for candidate in candidates
        )
        publish_group_decision(
            context, row, 'promote', 'highest_position', answers, command.primary
        )


def count_primaries_by_zone(context: StepContext, row: messages.GroupRow) -> Counter[str]:
    """Count the primaries of all other groups in each availability zone.

    :param context: context of the current step.
    :param row: the group that is not counted.
    :returns: the numbers by availability zone.
    """
    counts: Counter[str] = Counter()
    for other in context.state.groups.values():
        primary = context.local.instances.find(other.name, other.primary or '')
        if other.name != row.name and primary is not None:
            counts[primary.announcement.availability_zone] += 1
    return counts


def _make_stop_following_key(
    row: messages.GroupRow, progress: GroupProgress, known_instance: KnownInstance
) -> OrderKey:
    instance = known_instance.announcement.instance
    return OrderKey(OrderKind.stop_following, row.name, instance, progress.proposed_term)


def _make_proposal_key(row: messages.GroupRow) -> str:
    return f'group {row.name}'
