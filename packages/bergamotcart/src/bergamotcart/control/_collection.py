"""Work on a frozen group: wait for leases, collect positions, choose a primary."""

from collections import Counter
from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import HoldGroup, PromoteGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_work import GroupWork, Note
from bergamotcart.control._open_group import decide
from bergamotcart.control._order_book import OrderKey
from bergamotcart.control._placement import Candidate, choose_primary, count_needed
from bergamotcart.control._planned import wait_for_catch_up
from bergamotcart.control._sightings import Seen, is_fresh
from bergamotcart.control._tick import Tick
from bergamotcart.documents import InsufficientInstances

POLL_S: Final = 0.05
# Instances seen within this time count, even if the document states fewer.
COUNTED_S: Final = 60.0
NEVER_S: Final = float('inf')


def run_frozen(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    """Advance a frozen group."""
    if not is_freeze_complete(tick, row, work):
        return
    if work.frozen_complete_at is None:
        work.frozen_complete_at = tick.now
    tick.wake_at(tick.now + POLL_S)
    if not wait_for_catch_up(tick, row, work):
        return
    candidates = _collect(tick, row, work)
    if _are_enough(tick, row, work, candidates):
        _promote(tick, row, work, candidates)


def is_freeze_complete(tick: Tick, row: messages.GroupRow, work: GroupWork) -> bool:
    """Tell whether no entry works with the primary of a frozen group any more."""
    if work.frozen_complete_at is not None:
        return True
    entries = tick.local.entries
    waiting = [
        entry
        for entry in tick.state.roster()
        if entries.applied_index(entry) < tick.state.frozen_index
        and entries.lease_until(entry) >= tick.now
    ]
    if not waiting:
        return True
    names = ', '.join(sorted({entry.name for entry in waiting}))
    work.waiting_for = f'the leases of {names}'
    if work.note_once(Note.waiting_for_leases):
        decide(tick, row, 'wait', 'leases_possible', names)
    for entry in waiting:
        tick.wake_at(entries.lease_until(entry) + POLL_S / 10)
    return False


def _collect(tick: Tick, row: messages.GroupRow, work: GroupWork) -> list[Candidate]:
    instances = tick.local.sightings.of_group(row.name)
    for instance in instances:
        key = _stop_key(row, work, instance)
        order = tick.local.orders.prepare(key, instance.announcement, tick.now, NEVER_S)
        if order is not None:
            tick.actions.append(order)
    answers = [(seen, tick.local.orders.answer(_stop_key(row, work, seen))) for seen in instances]
    if any(_raise_term(tick, row, work, status) for _, status in answers):
        return []
    return [
        Candidate(status, seen.announcement, is_fresh(tick, seen))
        for seen, status in answers
        if status is not None and status.accepted
    ]


def _raise_term(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    status: InstanceStatus | None,
) -> bool:
    """Raise the term of the orders if an instance knows a newer one.

    It may come from an attempt of a former leader that was not committed.
    """
    if status is None or status.accepted or status.term < work.attempt_term:
        return False
    work.attempt_term = status.term + 1
    decide(tick, row, 'raise_term', 'newer_term_seen', target=status.instance)
    tick.wake_at(tick.now)
    return True


def _are_enough(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    candidates: list[Candidate],
) -> bool:
    settings = tick.document.groups[row.name]
    needed = count_needed(max(settings.instances, _count_known(tick, row)))
    if len(candidates) >= needed:
        return True
    work.waiting_for = f'{needed} instances, of which {len(candidates)} answered'
    if tick.now < work.since + settings.promotion_wait_s:
        return False
    if settings.insufficient_instances == InsufficientInstances.accept_loss:
        if candidates and work.note_once(Note.too_few_instances):
            decide(tick, row, 'accept_loss', 'too_few_instances', work.waiting_for)
        return bool(candidates)
    if not row.read_only:
        command = HoldGroup(group=row.name, term=row.term)
        if tick.local.proposals.submit(_subject(row), command, tick.now):
            decide(tick, row, 'stay_read_only', 'too_few_instances', work.waiting_for)
    return False


def _count_known(tick: Tick, row: messages.GroupRow) -> int:
    return sum(
        tick.now - seen.made_after < COUNTED_S for seen in tick.local.sightings.of_group(row.name)
    )


def _promote(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    candidates: list[Candidate],
) -> None:
    chosen = choose_primary(candidates, work.floor, primaries_by_zone(tick, row))
    command = PromoteGroup(
        group=row.name,
        frozen_term=row.term,
        term=work.attempt_term,
        primary=chosen.status.instance,
        log_term=chosen.status.log_term,
        position=chosen.status.position,
    )
    if tick.local.proposals.submit(_subject(row), command, tick.now):
        answers = ', '.join(
            f'{candidate.status.instance} at {candidate.status.log_term}/'
            f'{candidate.status.position}'
            for candidate in candidates
        )
        decide(tick, row, 'promote', 'highest_position', answers, command.primary)


def primaries_by_zone(tick: Tick, row: messages.GroupRow) -> Counter[str]:
    """Count the primaries of all other groups by availability zone."""
    zones: Counter[str] = Counter()
    for other in tick.state.groups.values():
        seen = tick.local.sightings.find(other.name, other.primary or '')
        if other.name != row.name and seen is not None:
            zones[seen.announcement.availability_zone] += 1
    return zones


def _stop_key(row: messages.GroupRow, work: GroupWork, seen: Seen) -> OrderKey:
    instance = seen.announcement.instance
    return OrderKey(OrderKind.stop_following, row.name, instance, work.attempt_term)


def _subject(row: messages.GroupRow) -> str:
    return f'group {row.name}'
