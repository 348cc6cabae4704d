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
from bergamotcart.control._switchover import advance_catch_up
from bergamotcart.control._tick import Tick
from bergamotcart.documents import InsufficientInstances

POLL_INTERVAL_S: Final = 0.05
# Instances that announced themselves within this time are counted, even if the document states
# fewer.
RECENT_INSTANCE_S: Final = 60.0
NEVER_REPEAT_S: Final = float('inf')


def advance_frozen_group(tick: Tick, row: messages.GroupRow, progress: GroupProgress) -> None:
    """Advance a frozen group by one step.

    :param tick: the current tick.
    :param row: a group in the frozen phase.
    :param progress: progress of the group.
    """
    if not is_freeze_complete(tick, row, progress):
        return
    if progress.freeze_completed_at is None:
        progress.freeze_completed_at = tick.now
    tick.wake_at(tick.now + POLL_INTERVAL_S)
    if not advance_catch_up(tick, row, progress):
        return
    candidates = _collect_candidates(tick, row, progress)
    if _has_enough_candidates(tick, row, progress, candidates):
        _propose_promotion(tick, row, progress, candidates)


def is_freeze_complete(tick: Tick, row: messages.GroupRow, progress: GroupProgress) -> bool:
    """Tell whether no entry sends requests to the primary of a frozen group any more.

    An entry has stopped once it has applied the freeze or its lease has ended.

    :param tick: the current tick.
    :param row: a group in the frozen phase.
    :param progress: progress of the group.
    """
    if progress.freeze_completed_at is not None:
        return True
    entries = tick.local.entries
    waiting = [
        entry
        for entry in tick.state.roster()
        if entries.applied_index(entry) < tick.state.frozen_index
        and entries.lease_end(entry) >= tick.now
    ]
    if not waiting:
        return True
    entry_names = ', '.join(sorted({entry.name for entry in waiting}))
    progress.waiting_for = f'the leases of {entry_names}'
    if progress.mark_published(OneTimeDecision.waiting_for_leases):
        publish_group_decision(tick, row, 'wait', 'leases_possible', entry_names)
    for entry in waiting:
        tick.wake_at(entries.lease_end(entry) + POLL_INTERVAL_S / 10)
    return False


def _collect_candidates(
    tick: Tick, row: messages.GroupRow, progress: GroupProgress
) -> list[Candidate]:
    instances = tick.local.instances.list_group(row.name)
    for known_instance in instances:
        key = _stop_following_key(row, progress, known_instance)
        order = tick.local.orders.prepare_if_due(
            key, known_instance.announcement, tick.now, NEVER_REPEAT_S
        )
        if order is not None:
            tick.actions.append(order)
    answers = [
        (instance, tick.local.orders.find_answer(_stop_following_key(row, progress, instance)))
        for instance in instances
    ]
    if any(_raise_term_if_newer(tick, row, progress, status) for _, status in answers):
        return []
    return [
        Candidate(status, instance.announcement, is_recently_announced(tick, instance))
        for instance, status in answers
        if status is not None and status.accepted
    ]


def _raise_term_if_newer(
    tick: Tick,
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
    publish_group_decision(tick, row, 'raise_term', 'newer_term_seen', target=status.instance)
    tick.wake_at(tick.now)
    return True


def _has_enough_candidates(
    tick: Tick,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> bool:
    settings = tick.document.groups[row.name]
    required = count_required_answers(max(settings.instances, _count_recent_instances(tick, row)))
    if len(candidates) >= required:
        return True
    progress.waiting_for = (
        f'{required} instances to answer, of which {len(candidates)} have answered'
    )
    if tick.now < progress.phase_started_at + settings.promotion_wait_s:
        return False
    if settings.insufficient_instances == InsufficientInstances.accept_loss:
        if candidates and progress.mark_published(OneTimeDecision.too_few_instances):
            publish_group_decision(
                tick, row, 'accept_loss', 'too_few_instances', progress.waiting_for
            )
        return bool(candidates)
    if not row.read_only:
        command = HoldGroup(group=row.name, term=row.term)
        if tick.local.proposals.submit(_proposal_subject(row), command, tick.now):
            publish_group_decision(
                tick, row, 'stay_read_only', 'too_few_instances', progress.waiting_for
            )
    return False


def _count_recent_instances(tick: Tick, row: messages.GroupRow) -> int:
    return sum(
        tick.now - instance.sent_after < RECENT_INSTANCE_S
        for instance in tick.local.instances.list_group(row.name)
    )


def _propose_promotion(
    tick: Tick,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> None:
    chosen = choose_primary(
        candidates, progress.required_position, count_primaries_by_zone(tick, row)
    )
    command = PromoteGroup(
        group=row.name,
        frozen_term=row.term,
        term=progress.proposed_term,
        primary=chosen.status.instance,
        log_term=chosen.status.log_term,
        position=chosen.status.position,
    )
    if tick.local.proposals.submit(_proposal_subject(row), command, tick.now):
        answers = ', '.join(
            f'{candidate.status.instance} at {candidate.status.log_term}/'
            f'{candidate.status.position}'
            for candidate in candidates
        )
        publish_group_decision(tick, row, 'promote', 'highest_position', answers, command.primary)


def count_primaries_by_zone(tick: Tick, row: messages.GroupRow) -> Counter[str]:
    """Count the primaries of all other groups in each availability zone.

    :param tick: the current tick.
    :param row: the group that is not counted.
    :returns: the numbers by availability zone.
    """
    counts: Counter[str] = Counter()
    for other in tick.state.groups.values():
        primary = tick.local.instances.find(other.name, other.primary or '')
        if other.name != row.name and primary is not None:
            counts[primary.announcement.availability_zone] += 1
    return counts


def _stop_following_key(
    row: messages.GroupRow, progress: GroupProgress, known_instance: KnownInstance
) -> OrderKey:
    instance = known_instance.announcement.instance
    return OrderKey(OrderKind.stop_following, row.name, instance, progress.proposed_term)


def _proposal_subject(row: messages.GroupRow) -> str:
    return f'group {row.name}'
