"""Work on a promoting group: promote, let the others follow, open."""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import OpenGroup
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_work import GroupWork, Note
from bergamotcart.control._open_group import decide, find_newer_term, freeze
from bergamotcart.control._order_book import OrderKey
from bergamotcart.control._planned import poll_statuses
from bergamotcart.control._sightings import Seen
from bergamotcart.control._suspicion import is_unreachable
from bergamotcart.control._tick import Tick
from bergamotcart.documents import InsufficientInstances

POLL_S: Final = 0.05
PROMOTE_REPEAT_S: Final = 0.2
FOLLOW_REPEAT_S: Final = 0.5


def run_promoting(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    """Advance a promoting group."""
    tick.wake_at(tick.now + POLL_S)
    seen = tick.local.sightings.find(row.name, row.primary or '')
    if seen is None:
        work.waiting_for = 'the address of the chosen instance'
        return
    _order_follow(tick, row, seen)
    status = _order_promotion(tick, row, seen)
    failure = _find_failure(tick, row, status) or find_newer_term(tick, row)
    if failure:
        freeze(tick, row, failure)
    elif status is None:
        work.waiting_for = 'the promotion of the chosen instance'
    else:
        _open_when_replicated(tick, row, work)


def _order_promotion(tick: Tick, row: messages.GroupRow, seen: Seen) -> InstanceStatus | None:
    key = _promote_key(row)
    status = tick.local.orders.answer(key)
    if status is not None and status.role == messages.TargetRole.primary:
        return status
    order = tick.local.orders.prepare(key, seen.announcement, tick.now, PROMOTE_REPEAT_S)
    if order is not None:
        tick.actions.append(order)
    return status if status is not None and not status.accepted else None


def _find_failure(
    tick: Tick,
    row: messages.GroupRow,
    status: InstanceStatus | None,
) -> str:
    if status is not None:
        return '' if status.accepted else 'promotion_refused'
    state = tick.local.orders.find(_promote_key(row))
    if state is not None and state.failed_since is not None:
        if tick.now - state.failed_since >= tick.config.silence_timeout_s:
            return 'promotion_failed'
    return 'chosen_unreachable' if is_unreachable(tick, row.name, row.primary or '') else ''


def _order_follow(tick: Tick, row: messages.GroupRow, primary: Seen) -> None:
    for seen in tick.local.sightings.of_group(row.name):
        instance = seen.announcement.instance
        if instance == row.primary:
            continue
        key = OrderKey(OrderKind.follow, row.name, instance, row.term)
        order = tick.local.orders.prepare(
            key,
            seen.announcement,
            tick.now,
            FOLLOW_REPEAT_S,
            primary.announcement,
        )
        if order is not None:
            tick.actions.append(order)


def _open_when_replicated(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    promotion = tick.local.orders.find(_promote_key(row))
    answered_at = promotion.answered_at if promotion else None
    statuses = poll_statuses(tick, row, answered_at or tick.now)
    chosen = statuses.get(row.primary or '')
    if chosen is not None and chosen.role != messages.TargetRole.primary:
        # It has restarted since; without a new term its former answer would stand for ever.
        freeze(tick, row, 'chosen_demoted')
        return
    reason = _reason_to_open(tick, row, work, statuses)
    if not reason:
        work.waiting_for = 'a replica to have the first record of the new term'
        return
    command = OpenGroup(group=row.name, term=row.term)
    if tick.local.proposals.submit(f'group {row.name}', command, tick.now):
        decide(tick, row, 'open', reason)


def _reason_to_open(
    tick: Tick,
    row: messages.GroupRow,
    work: GroupWork,
    statuses: dict[str, InstanceStatus],
) -> str:
    """Return why a group may open.

    Unless a replica has a record of the new term, a later choice could prefer the longer
    log of the deposed primary.
    """
    settings = tick.document.groups[row.name]
    if settings.instances == 1:
        return 'single_instance'
    for instance, status in statuses.items():
        if instance != row.primary and status.log_term >= row.term:
            return 'replica_has_first_record'
    waited = tick.now - work.since >= settings.promotion_wait_s
    if waited and settings.insufficient_instances == InsufficientInstances.accept_loss:
        return 'loss_accepted_without_replica'
    if waited and work.note_once(Note.waiting_for_replica):
        decide(tick, row, 'wait', Note.waiting_for_replica)
    return ''


def _promote_key(row: messages.GroupRow) -> OrderKey:
    return OrderKey(OrderKind.promote, row.name, row.primary or '', row.term)
