"""Lends connections beyond the base quota to entries, by the demand that they report."""

from bergamotcart import messages
from bergamotcart.admission import Grant, TargetLender
from bergamotcart.control._entry_table import EntryStatus
from bergamotcart.control._step_context import StepContext


def grant_quotas(
    context: StepContext,
    entry_status: EntryStatus,
    sent_at: float,
) -> tuple[messages.QuotaGrant, ...]:
    """Return the connections lent to an entry until its lease ends.

    :param context: context of the current step.
    :param entry_status: status of the entry, whose lease has just been renewed.
    :param sent_at: time of its lease request, on its own clock.
    """
    grants: list[messages.QuotaGrant] = []
    grant = Grant(sent_at, entry_status.lease_end)
    for use in entry_status.quota_use:
        target = (use.group, use.instance)
        pool = _lendable_connections(context, target) - _count_overdue_connections(
            context, target, entry_status
        )
        lent = _find_lender(context, target).lend(
            context.now,
            _make_borrower_name(entry_status),
            grant,
            use.demand,
            max(pool, 0),
        )
        if lent:
            grants.append(messages.QuotaGrant(group=use.group, instance=use.instance, lent=lent))
    return tuple(grants)


def count_lendable_connections(connection_limit: int, entries_limit: int, entries: int) -> int:
    """Return the connections of a target that no base quota covers.

    :param connection_limit: number of connections that the target accepts.
    :param entries_limit: greatest number of entries of the group, as the operator set it.
    :param entries: number of incarnations in the roster, which may exceed ``entries_limit``.
    """
    base = max(connection_limit // entries_limit, 1)
    return max(0, connection_limit - base * max(entries, entries_limit))


def _lendable_connections(context: StepContext, target: tuple[str, str]) -> int:
    known_instance = context.local.instances.find(*target)
    settings = context.document.group(target[0])
    if known_instance is None or settings is None:
        return 0
    entries = len(context.state.roster())
    return count_lendable_connections(
        settings.usable_connections(known_instance.announcement.connection_limit),
        settings.entries_limit or max(entries, 1),
        entries,
    )


def _find_lender(context: StepContext, target: tuple[str, str]) -> TargetLender:
    lender = context.local.lenders.get(target)
    if lender is None:
        # Entries may use connections that a former leader lent until its leases have ended.
        lender = TargetLender(context.local.entries.former_lease_end)
        context.local.lenders[target] = lender
    return lender


def _count_overdue_connections(
    context: StepContext, target: tuple[str, str], borrower: EntryStatus
) -> int:
    """Count the connections that other entries still use although their loans have ended."""
    lender = _find_lender(context, target)
    return sum(
        max(0, use.lent_in_use - lender.outstanding(context.now, _make_borrower_name(entry_status)))
        for entry_status in context.local.entries.statuses
        if entry_status.key != borrower.key and entry_status.lease_end > context.now
        for use in entry_status.quota_use
        if (use.group, use.instance) == target
    )


def _make_borrower_name(entry_status: EntryStatus) -> str:
    return f'{entry_status.key.name}/{entry_status.key.incarnation}'
