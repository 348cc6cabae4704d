"""Replacement of a primary through an outside authority.

The authority promotes the instance that it is told and demotes all others at that moment. A call
without an answer may run seconds later, so a group stays in its phase until its decision is known
to have taken effect, and each decision has a larger fencing token than all before it.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._collection import NEVER_S, is_freeze_complete, primaries_by_zone
from bergamotcart.control._commands import OpenGroup, PromoteGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_work import GroupWork
from bergamotcart.control._open_group import decide, find_planned, freeze, freeze_unless_paused
from bergamotcart.control._order_book import OrderKey
from bergamotcart.control._placement import Candidate, choose_primary
from bergamotcart.control._planned import poll_statuses, wait_for_catch_up
from bergamotcart.control._sightings import Seen, is_fresh
from bergamotcart.control._suspicion import find_suspicion, is_unreachable
from bergamotcart.control._tick import Tick

POLL_S: Final = 0.05
# Instances in other regions answer within a few milliseconds; a silent one is not waited for.
ANSWERS_S: Final = 0.3
PROMOTE_REPEAT_S: Final = 0.5
# Promotions take some hundred milliseconds once the authority has been asked.
PROMOTION_S: Final = 5.0


def run_appointment(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    """Advance a group whose primary an authority appoints by one step of its phase."""
    match row.phase:
        case messages.GroupPhase.open:
            _run_open(tick, row, work)
        case messages.GroupPhase.frozen:
            _run_frozen(tick, row, work)
        case messages.GroupPhase.promoting:
            _run_promoting(tick, row, work)


def _run_open(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    _resume_replicas(tick, row)
    reason = find_suspicion(tick, row, work)
    if reason == 'primary_demoted':
        reason = _confirm_demotion(tick, row)
    reason = reason or find_planned(tick, row, work)
    if reason:
        freeze_unless_paused(tick, row, work, reason)
    else:
        work.waiting_for = ''


def _resume_replicas(tick: Tick, row: messages.GroupRow) -> None:
    """Let the replicas receive again that were stopped to fix their positions."""
    primary = tick.local.sightings.find(row.name, row.primary or '')
    if primary is None or not tick.document.groups[row.name].synchronous_replicas:
        return
    for seen in tick.local.sightings.of_group(row.name):
        instance = seen.announcement.instance
        key = OrderKey(OrderKind.follow, row.name, instance, row.term)
        if instance == row.primary:
            continue
        order = tick.local.orders.prepare(
            key,
            seen.announcement,
            tick.now,
            NEVER_S,
            primary.announcement,
        )
        if order is not None:
            tick.actions.append(order)


def _confirm_demotion(tick: Tick, row: messages.GroupRow) -> str:
    """Ask an instance that announced itself as a replica, since announcements may be late."""
    tick.wake_at(tick.now + POLL_S)
    status = poll_statuses(tick, row, tick.local.led_since).get(row.primary or '')
    is_demoted = status is not None and status.role is not messages.TargetRole.primary
    return 'primary_demoted' if is_demoted else ''


def _run_frozen(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    if not is_freeze_complete(tick, row, work):
        return
    if work.frozen_complete_at is None:
        work.frozen_complete_at = tick.now
    tick.wake_at(tick.now + POLL_S)
    if not wait_for_catch_up(tick, row, work):
        return
    candidates = _collect(tick, row, work)
    if candidates:
        _appoint(tick, row, work, candidates)


def _collect(tick: Tick, row: messages.GroupRow, work: GroupWork) -> list[Candidate]:
    """Return the instances to choose from, or none while answers are missing."""
    statuses = _ask(tick, row, work)
    instances = tick.local.sightings.of_group(row.name)
    missing = [
        seen.announcement.instance
        for seen in instances
        if seen.announcement.instance not in statuses
        and is_fresh(tick, seen)
        and not is_unreachable(tick, row.name, seen.announcement.instance)
    ]
    candidates = [
        Candidate(statuses[seen.announcement.instance], seen.announcement, is_fresh(tick, seen))
        for seen in instances
        if seen.announcement.instance in statuses
    ]
    work.waiting_for = f'the positions of {", ".join(missing)}' if missing else 'an instance'
    if missing and tick.now < (work.frozen_complete_at or tick.now) + ANSWERS_S:
        return []
    is_first = row.primary is None
    if is_first and not any(_is_primary(candidate.status) for candidate in candidates):
        # Without a former primary, the one that serves already is the best choice.
        if missing or tick.now < work.since + PROMOTION_S:
            return []
    return candidates if _are_enough(tick, row, candidates) else []


def _ask(tick: Tick, row: messages.GroupRow, work: GroupWork) -> dict[str, InstanceStatus]:
    """Ask the instances for their positions, and fix them where acknowledgements rely on it."""
    since = work.frozen_complete_at or tick.now
    statuses = poll_statuses(tick, row, since)
    if not tick.document.groups[row.name].synchronous_replicas:
        return statuses
    fixed: dict[str, InstanceStatus] = {}
    for seen in tick.local.sightings.of_group(row.name):
        instance = seen.announcement.instance
        known = statuses.get(instance)
        if known is None:
            continue
        newest = max(status.term for status in statuses.values())
        key = OrderKey(OrderKind.stop_following, row.name, instance, newest + 1)
        order = tick.local.orders.prepare(key, seen.announcement, tick.now, PROMOTE_REPEAT_S)
        if order is not None:
            tick.actions.append(order)
        answer = tick.local.orders.answer(key)
        if answer is not None and answer.accepted:
            fixed[instance] = answer
    return fixed


def _are_enough(tick: Tick, row: messages.GroupRow, candidates: list[Candidate]) -> bool:
    """Tell whether an instance with every acknowledged write must be among the candidates.

    With ``synchronous_replicas`` an acknowledged write is on that many replicas and the primary.
    """
    settings = tick.document.groups[row.name]
    if not settings.synchronous_replicas or row.primary is None:
        return bool(candidates)
    return len(candidates) >= settings.instances - settings.synchronous_replicas


def _appoint(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    candidates: list[Candidate],
) -> None:
    staying = [candidate for candidate in candidates if not candidate.announcement.leaving]
    chosen = choose_primary(staying or candidates, work.floor, primaries_by_zone(tick, row))
    serving = [candidate for candidate in candidates if _is_primary(candidate.status)]
    if row.primary is None and serving:
        chosen = max(serving, key=lambda candidate: candidate.position)
    command = PromoteGroup(
        group=row.name,
        frozen_term=row.term,
        term=row.term + 1,
        primary=chosen.status.instance,
        log_term=None,
        position=chosen.status.position,
        decided_by=tick.config.name,
        decided_in=tick.authority.term,
    )
    if tick.local.proposals.submit(f'group {row.name}', command, tick.now):
        answers = ', '.join(
            f'{candidate.status.instance} at {candidate.status.log_term}.'
            f'{candidate.status.position}'
            for candidate in candidates
        )
        decide(tick, row, 'promote', 'highest_position', answers, command.primary)


def _run_promoting(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    if (row.decided_by, row.decided_in) != (tick.config.name, tick.authority.term):
        # A fencing token belongs to one holder, so a new leader decides anew.
        freeze(tick, row, 'decided_by_former_leader')
        return
    tick.wake_at(tick.now + POLL_S)
    status = poll_statuses(tick, row, work.since).get(row.primary or '')
    if status is not None and _is_primary(status):
        command = OpenGroup(group=row.name, term=row.term)
        if tick.local.proposals.submit(f'group {row.name}', command, tick.now):
            decide(tick, row, 'open', 'primary_serves')
        return
    seen = tick.local.sightings.find(row.name, row.primary or '')
    if seen is None:
        work.waiting_for = 'the address of the chosen instance'
        return
    work.waiting_for = 'the promotion of the chosen instance'
    failure = _order_promotion(tick, row, work, seen)
    if failure:
        freeze(tick, row, failure)


def _order_promotion(tick: Tick, row: messages.GroupRow, work: GroupWork, seen: Seen) -> str:
    """Ask the authority for the promotion.

    :returns: why another instance must be chosen, or an empty string.
    """
    key = OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
    answer = tick.local.orders.answer(key)
    if answer is not None:
        if not answer.accepted:
            return 'promotion_refused'
        return 'promotion_failed' if tick.now > work.since + PROMOTION_S else ''
    order = tick.local.orders.prepare(
        key,
        seen.announcement,
        tick.now,
        PROMOTE_REPEAT_S,
        row=row,
    )
    if order is not None:
        tick.actions.append(order)
        decide(tick, row, 'call_authority', 'decision_committed', f'token {row.modified_index}')
    return 'chosen_unreachable' if is_unreachable(tick, row.name, row.primary or '') else ''


def _is_primary(status: InstanceStatus) -> bool:
    return status.role is messages.TargetRole.primary
