"""Selects the groups to check in a step."""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._local_tables import LocalTables
from bergamotcart.control._state import ReplicatedState

# Conditions that depend on time alone, such as repeated orders, are checked at this interval.
CHECK_INTERVAL_S: Final = 1.0


def find_due_groups(local: LocalTables, state: ReplicatedState, now: float) -> set[str]:
    """Return the groups to check now.

    With a check of every group in every step, the leader's processor time grew with the square
    of the size of the deployment: 0.54 of a core at 50 entries and 119 groups. An open group is
    therefore checked only if something about it has changed, if an entry cannot reach one of
    its instances, or if its periodic check is due.

    :param local: tables of the leader.
    :param state: the replicated state.
    :param now: monotonic time in seconds.
    """
    due = local.entries.pop_changed_groups() | local.instances.pop_changed_groups()
    suspect_groups = (entry_status.suspect_groups for entry_status in local.entries.statuses)
    local.suspect_groups = frozenset().union(*suspect_groups)
    due |= local.suspect_groups
    for row in state.groups.values():
        if row.phase is not messages.GroupPhase.open or _is_new_phase(local, row):
            due.add(row.name)
        elif now >= local.checked_at.get(row.name, 0) + CHECK_INTERVAL_S:
            due.add(row.name)
    for name in due:
        local.checked_at[name] = now
    return due


def _is_new_phase(local: LocalTables, row: messages.GroupRow) -> bool:
    progress = local.group_progress.get(row.name)
    return progress is None or progress.phase_and_term != (row.phase, row.term)
