"""Positions of primaries, which the leader polls so that not every entry has to.

The position of a primary is that of its last record.
"""

from collections.abc import Iterator
from typing import Final

from bergamotcart import messages
from bergamotcart.control._events import OrderKind
from bergamotcart.control._orders import OrderKey, OrderState
from bergamotcart.control._step_context import StepContext
from bergamotcart.documents import PositionSource

# Entries renew their leases at the same interval, so reads that allow an age of one second need no
# probe of the primary.
POSITION_POLL_INTERVAL_S: Final = 0.25
# With more groups, the lease grants would grow too long. Entries then ask the primaries themselves.
MAX_SHARED_POSITIONS: Final = 64


def poll_primary_positions(context: StepContext) -> None:
    """Poll the positions of the primaries of open groups, and store which cannot be reached."""
    rows = tuple(_list_polled_rows(context))
    if not rows or context.now < context.local.positions_polled_at + POSITION_POLL_INTERVAL_S:
        return
    context.local.positions_polled_at = context.now
    context.local.suspected_primary_groups = _find_suspected_groups(context, rows)
    context.request_step_at(context.now + POSITION_POLL_INTERVAL_S)
    for row in rows:
        primary = context.local.instances.find(row.name, row.primary or '')
        if primary is None:
            continue
        order = context.local.orders.prepare_if_due(
            _make_status_key(row), primary.announcement, context.now, POSITION_POLL_INTERVAL_S / 2
        )
        if order is not None:
            context.actions.append(order)


def find_primary_positions(context: StepContext) -> tuple[messages.PrimaryPosition, ...]:
    """Return the positions that entries may use now.

    An instance that answers as primary has all commits that were acknowledged before it was asked,
    since a replaced one does not answer as primary any more.
    """
    positions: list[messages.PrimaryPosition] = []
    for row in _list_polled_rows(context):
        state = context.local.orders.find(_make_status_key(row))
        if state is None or state.status is None:
            continue
        status = state.status
        age_s = context.now - state.status_sent_at
        if (
            status.role is messages.TargetRole.primary
            and age_s < context.configuration.lease_duration_s
        ):
            position = messages.PrimaryPosition(
                group=row.name,
                log_term=status.log_term,
                position=status.position,
                age_s=age_s * (1 + context.configuration.drift_margin),
                open_connections=status.open_connections,
            )
            positions.append(position)
    return tuple(positions)


def _find_suspected_groups(
    context: StepContext, rows: tuple[messages.GroupRow, ...]
) -> frozenset[str]:
    """Return the groups whose primary this leader or some entry cannot reach."""
    entry_statuses = context.local.entries.statuses if context.local.suspect_groups else ()
    unreachable = {
        key
        for entry_status in entry_statuses
        if entry_status.suspect_groups
        for key, observation in entry_status.observations.items()
        if observation.reachability is not messages.Reachability.reachable
    }
    return frozenset(
        row.name
        for row in rows
        if (row.name, row.primary) in unreachable
        or _is_poll_failing(context.local.orders.find(_make_status_key(row)))
    )


def _is_poll_failing(state: OrderState | None) -> bool:
    return state is not None and state.failed_since is not None


def _list_polled_rows(context: StepContext) -> Iterator[messages.GroupRow]:
    rows = [
        row
        for row in context.state.groups.values()
        if row.phase is messages.GroupPhase.open and _has_positions_in_answers(context, row)
    ]
    return iter(rows if len(rows) <= MAX_SHARED_POSITIONS else ())


def _has_positions_in_answers(context: StepContext, row: messages.GroupRow) -> bool:
    settings = context.document.group(row.name)
    return settings is not None and settings.positions is PositionSource.answers


def _make_status_key(row: messages.GroupRow) -> OrderKey:
    return OrderKey(OrderKind.status, row.name, row.primary or '', row.term)
