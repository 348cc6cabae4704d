"""Planned replacement: a replica catches up before a leaving primary is stopped."""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_work import GroupWork, Note
from bergamotcart.control._open_group import decide
from bergamotcart.control._order_book import OrderKey
from bergamotcart.control._suspicion import is_unreachable, takes_no_work
from bergamotcart.control._tick import Tick
from bergamotcart.discovery import Position

STATUS_REPEAT_S: Final = 0.05
# Writes are paused meanwhile; a replica that needs longer is not worth the wait.
CATCH_UP_S: Final = 5.0


def wait_for_catch_up(tick: Tick, row: messages.GroupRow, work: GroupWork) -> bool:
    """Tell whether the instances of a frozen group may be stopped.

    :param tick: the current tick.
    :param row: a group in which no entry can write any more.
    :param work: its progress.
    """
    if work.caught_up or not _is_planned(tick, row):
        return True
    statuses = poll_statuses(tick, row, work.frozen_complete_at or tick.now)
    primary = statuses.get(row.primary or '')
    if primary is not None and primary.role != messages.TargetRole.primary:
        work.caught_up = True
        return True
    if primary is not None and work.floor is None:
        work.floor = Position(primary.log_term, primary.position)
    work.caught_up = work.floor is not None and _has_successor(tick, row, work.floor, statuses)
    if not work.caught_up and tick.now > work.since + CATCH_UP_S:
        work.caught_up = True
        decide(tick, row, 'stop_instances', Note.catch_up_given_up)
    work.waiting_for = 'a replica to catch up with the leaving primary'
    return work.caught_up


def poll_statuses(
    tick: Tick,
    row: messages.GroupRow,
    since: float,
) -> dict[str, InstanceStatus]:
    """Ask the instances of a group for their status.

    :param tick: the current tick.
    :param row: the group.
    :param since: answers to questions sent earlier do not count.
    :returns: the newest answers by instance.
    """
    statuses: dict[str, InstanceStatus] = {}
    for seen in tick.local.sightings.of_group(row.name):
        instance = seen.announcement.instance
        key = OrderKey(OrderKind.status, row.name, instance, row.term)
        order = tick.local.orders.prepare(key, seen.announcement, tick.now, STATUS_REPEAT_S)
        if order is not None:
            tick.actions.append(order)
        state = tick.local.orders.find(key)
        if state is not None and state.status is not None and state.status_sent_at >= since:
            statuses[instance] = state.status
    return statuses


def _is_planned(tick: Tick, row: messages.GroupRow) -> bool:
    if not takes_no_work(tick, row.name, row.primary):
        return False
    return not is_unreachable(tick, row.name, row.primary or '')


def _has_successor(
    tick: Tick,
    row: messages.GroupRow,
    floor: Position,
    statuses: dict[str, InstanceStatus],
) -> bool:
    return any(
        Position(status.log_term, status.position) >= floor
        and instance != row.primary
        and not takes_no_work(tick, row.name, instance)
        for instance, status in statuses.items()
    )
