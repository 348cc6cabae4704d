"""Replacement of primaries: runs the work of each group's phase."""

from bergamotcart import messages
from bergamotcart.control._appointment import run_appointment
from bergamotcart.control._attention import find_due_groups
from bergamotcart.control._collection import run_frozen
from bergamotcart.control._group_work import GroupWork
from bergamotcart.control._instances import note_instances
from bergamotcart.control._open_group import run_open
from bergamotcart.control._promotion import run_promoting
from bergamotcart.control._tick import Tick
from bergamotcart.documents import Promotion


def run_failover(tick: Tick) -> None:
    """Advance each group of the document by one step of its phase."""
    due = find_due_groups(tick.local, tick.state, tick.now)
    for name in sorted(due & tick.document.groups.keys()):
        note_instances(tick, name)
        row = tick.state.groups[name]
        work = _find_work(tick, row)
        if tick.local.proposals.is_pending(f'group {name}'):
            continue
        _advance(tick, row, work)


def _advance(tick: Tick, row: messages.GroupRow, work: GroupWork) -> None:
    if tick.document.groups[row.name].promotion is Promotion.authority:
        run_appointment(tick, row, work)
        return
    match row.phase:
        case messages.GroupPhase.open:
            run_open(tick, row, work)
        case messages.GroupPhase.frozen:
            run_frozen(tick, row, work)
        case messages.GroupPhase.promoting:
            run_promoting(tick, row, work)


def _find_work(tick: Tick, row: messages.GroupRow) -> GroupWork:
    phase = (row.phase, row.term)
    known = tick.local.groups.get(row.name)
    if known is not None and known.phase == phase:
        return known
    # A new leader does not know when a group opened and assumes that it was long ago.
    changed = known is not None and row.phase == messages.GroupPhase.open
    work = GroupWork(
        phase=phase,
        since=tick.now,
        attempt_term=_newest_term(tick, row) + 1,
        opened_at=tick.now if changed else None,
    )
    tick.local.groups[row.name] = work
    tick.local.orders.forget_before(row.name, row.term)
    return work


def _newest_term(tick: Tick, row: messages.GroupRow) -> int:
    """Return the newest term that an instance is known to have accepted.

    An attempt that was not committed may have left a newer term on some instances, which
    would refuse all orders of the next one.
    """
    seen_terms = [seen.announcement.term for seen in tick.local.sightings.of_group(row.name)]
    return max([row.term, *seen_terms])
