"""Advances each group through its phases: open, frozen and promoting."""

from bergamotcart import messages
from bergamotcart.control._authority_group import advance_authority_group
from bergamotcart.control._due_groups import find_due_groups
from bergamotcart.control._frozen_group import advance_frozen_group
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._open_group import advance_open_group
from bergamotcart.control._promoting_group import advance_promoting_group
from bergamotcart.control._replicated_instances import propose_changed_instances
from bergamotcart.control._step_context import StepContext
from bergamotcart.documents import Promotion


def advance_groups(context: StepContext) -> None:
    """Advance each due group of the document by one step of its phase."""
    due_groups = find_due_groups(context.local, context.state, context.now)
    for name in sorted(due_groups & context.document.groups.keys()):
        propose_changed_instances(context, name)
        row = context.state.groups[name]
        progress = _find_progress(context, row)
        if context.local.proposals.is_pending(f'group {name}'):
            continue
        _advance_group(context, row, progress)


def _advance_group(context: StepContext, row: messages.GroupRow, progress: GroupProgress) -> None:
    if context.document.groups[row.name].promotion is Promotion.authority:
        advance_authority_group(context, row, progress)
        return
    match row.phase:
        case messages.GroupPhase.open:
            advance_open_group(context, row, progress)
        case messages.GroupPhase.frozen:
            advance_frozen_group(context, row, progress)
        case messages.GroupPhase.promoting:
            advance_promoting_group(context, row, progress)


def _find_progress(context: StepContext, row: messages.GroupRow) -> GroupProgress:
    phase_and_term = (row.phase, row.term)
    existing = context.local.group_progress.get(row.name)
    if existing is not None and existing.phase_and_term == phase_and_term:
        return existing
    # A new leader does not know when a group opened: it leaves ``opened_at`` unset, so the grace
    # period of a newly opened group does not apply.
    has_just_opened = existing is not None and row.phase == messages.GroupPhase.open
    earlier_call_until = float('-inf')
    if existing is not None and row.phase == messages.GroupPhase.promoting:
        earlier_call_until = existing.earlier_call_until
    progress = GroupProgress(
        phase_and_term=phase_and_term,
        earlier_call_until=earlier_call_until,
        phase_started_at=context.now,
        proposed_term=_find_newest_term(context, row) + 1,
        opened_at=context.now if has_just_opened else None,
    )
    context.local.group_progress[row.name] = progress
    context.local.orders.remove_earlier_terms(row.name, row.term)
    return progress


def _find_newest_term(context: StepContext, row: messages.GroupRow) -> int:
    """Return the newest term that any instance of the group is known to have accepted.

    A promotion attempt that was not committed may have left a newer term on some instances.
    These would refuse all orders of the next attempt if it used a term that is not newer.
    """
    announced_terms = [
        instance.announcement.term for instance in context.local.instances.list_group(row.name)
    ]
    return max([row.term, *announced_terms])
