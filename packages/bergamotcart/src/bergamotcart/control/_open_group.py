"""Work on an open group: suspicion, leaving primaries and stray instances."""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._commands import FreezeGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_work import GroupWork, Note
from bergamotcart.control._order_book import OrderKey
from bergamotcart.control._sightings import Seen, is_fresh
from bergamotcart.control._suspicion import find_suspicion, is_leaving, takes_no_work
from bergamotcart.control._tick import Tick
from bergamotcart.discovery import Position

# An order to follow takes effect in the next announcement, about a second later.
FOLLOW_REPEAT_S: Final = 1.5


def run_open(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    """Freeze the group if its primary must be replaced, else guide the other instances."""
    reason = find_suspicion(tick, row, work) or find_planned(tick, row, work)
    reason = reason or find_newer_term(tick, row)
    if not reason:
        work.waiting_for = ''
        order_strays(tick, row)
        return
    freeze_unless_paused(tick, row, work, reason)


def freeze_unless_paused(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    reason: str,
) -> None:
    """Freeze a group, or say why not if the document has paused the replacement of its primary."""
    if not tick.document.is_failover_paused(row.name):
        freeze(tick, row, reason)
        return
    work.waiting_for = 'failover is paused by the document'
    if work.note_once(Note.paused):
        decide(tick, row, 'keep_primary', 'failover_paused', reason)


def freeze(tick: Tick, row: messages.GroupRow, reason: str) -> None:
    """Propose to stop writes to a group.

    :param tick: the current tick.
    :param row: an open or promoting group.
    :param reason: why its primary is replaced.
    """
    command = FreezeGroup(group=row.name, term=row.term)
    if tick.local.proposals.submit(f'group {row.name}', command, tick.now):
        decide(tick, row, 'freeze', reason)


def decide(
    tick: Tick,
    row: messages.GroupRow,
    action: str,
    reason: str,
    detail: str = '',
    target: str | None = None,
) -> None:
    """Publish a decision about a group."""
    tick.decide(
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


def order_strays(tick: Tick, row: messages.GroupRow) -> None:
    """Tell each instance that does not follow the primary to do so."""
    primary = tick.local.sightings.find(row.name, row.primary or '')
    if primary is None:
        return
    for seen in tick.local.sightings.of_group(row.name):
        announcement = seen.announcement
        is_other = announcement.instance != row.primary and is_fresh(tick, seen)
        if is_other and _is_stray(announcement, row):
            _order_follow(tick, row, announcement, primary.announcement)


def report_discarded(tick: Tick, key: OrderKey, status: InstanceStatus) -> None:
    """Report the positions that an instance which is told to follow must discard.

    :param tick: the current tick.
    :param key: an order that was answered.
    :param status: the answer.
    """
    row = tick.state.groups.get(key.group)
    if row is not None and key.kind == OrderKind.follow:
        _report_extra(tick, row, key.instance, Position(status.log_term, status.position))


def find_newer_term(tick: Tick, row: messages.GroupRow) -> str:
    """Return the reason to raise a group's term if an instance refuses to follow, or nothing."""
    for seen in tick.local.sightings.of_group(row.name):
        instance = seen.announcement.instance
        key = OrderKey(OrderKind.follow, row.name, instance, row.term)
        status = tick.local.orders.answer(key)
        if status is not None and not status.accepted and status.term > row.term:
            return 'newer_term_seen'
    return ''


def find_planned(tick: Tick, row: messages.GroupRow, work: GroupWork) -> str:
    """Return the reason to replace a primary that leaves, or an empty string."""
    if not takes_no_work(tick, row.name, row.primary):
        return ''
    reason = 'primary_leaving'
    if not is_leaving(tick, row.name, row.primary):
        reason = 'primary_not_announced'
    if any(_can_succeed(tick, row, seen) for seen in tick.local.sightings.of_group(row.name)):
        return reason
    if work.note_once(Note.no_successor):
        decide(tick, row, 'keep_primary', 'no_successor', reason)
    return ''


def _can_succeed(tick: Tick, row: messages.GroupRow, seen: Seen) -> bool:
    announcement = seen.announcement
    staying = announcement.instance != row.primary and not announcement.leaving
    return staying and is_fresh(tick, seen)


def _is_stray(announcement: messages.Announcement, row: messages.GroupRow) -> bool:
    if announcement.role == messages.TargetRole.primary:
        return True
    return announcement.following != row.primary or announcement.term < row.term


def _report_extra(
    tick: Tick,
    row: messages.GroupRow,
    instance: str,
    last: Position,
) -> None:
    kept = dict(row.branch_points).get(last.log_term)
    if kept is not None and last.position > kept:
        detail = f'position {last.position} of log term {last.log_term}, kept {kept}'
        decide(tick, row, 'report_positions', 'discarded', detail, instance)


def _order_follow(
    tick: Tick,
    row: messages.GroupRow,
    stray: messages.Announcement,
    primary: messages.Announcement,
) -> None:
    key = OrderKey(OrderKind.follow, row.name, stray.instance, row.term)
    order = tick.local.orders.prepare(key, stray, tick.now, FOLLOW_REPEAT_S, primary)
    if order is None:
        return
    tick.actions.append(order)
    is_deposed = stray.role == messages.TargetRole.primary
    reason = 'deposed_primary' if is_deposed else 'stray_replica'
    decide(tick, row, 'order_follow', reason, target=stray.instance)
    _report_extra(tick, row, stray.instance, Position(stray.log_term, stray.position))
