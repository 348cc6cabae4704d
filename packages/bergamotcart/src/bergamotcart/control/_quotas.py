"""Lending of connections beyond the base quota, by the demand that entries report."""

from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.control._entry_table import EntryContact, EntryKey
from bergamotcart.control._tick import Tick


@dataclass(frozen=True, slots=True)
class Loan:
    """Connections in one grant, which the entry may use until its lease ends."""

    lent: int
    until: float


@dataclass(frozen=True, slots=True)
class _Account:
    target: tuple[str, str]
    borrower: EntryKey


class LoanTable:
    """Loans of each target's connections by entry.

    A grant with fewer connections may be late or lost, so the former grant counts until
    its lease has certainly ended. An entry that still holds more is believed.
    """

    __slots__ = ('_loans',)

    def __init__(self) -> None:
        """Start without loans."""
        self._loans: dict[_Account, list[Loan]] = {}

    def clear(self) -> None:
        """Forget all loans."""
        self._loans.clear()

    def add(self, target: tuple[str, str], key: EntryKey, loan: Loan) -> None:
        """Note a loan."""
        account = _Account(target, key)
        # A former loan that is smaller and ends earlier has no effect any more.
        kept = [known for known in self._loans.get(account, []) if known.lent > loan.lent]
        self._loans[account] = [*kept, loan]

    def outstanding(self, target: tuple[str, str], contact: EntryContact, now: float) -> int:
        """Return how many lent connections an entry may have open."""
        account = _Account(target, contact.key)
        loans = [loan for loan in self._loans.get(account, []) if loan.until > now]
        self._loans[account] = loans
        lent = max((loan.lent for loan in loans), default=0)
        if contact.lease_until <= now:
            return lent
        return max(lent, _use(contact, target).lent_in_use)


def grant_quotas(tick: Tick, contact: EntryContact) -> tuple[messages.QuotaGrant, ...]:
    """Return the connections lent to an entry until its lease ends.

    A new leader does not know the loans of the former one and lends nothing until the
    leases that carried them have ended.

    :param tick: the current tick.
    :param contact: the entry, whose lease has just been renewed.
    """
    if tick.now < tick.local.entries.assumed_until:
        return ()
    grants: list[messages.QuotaGrant] = []
    for use in contact.quota_use:
        target = (use.group, use.instance)
        lent = min(_fair_share(tick, target, use.demand), _available(tick, target, contact))
        if lent > 0:
            tick.local.loans.add(target, contact.key, Loan(lent, contact.lease_until))
            grants.append(messages.QuotaGrant(group=use.group, instance=use.instance, lent=lent))
    return tuple(grants)


def count_lendable(connection_limit: int, entries_limit: int, entries: int) -> int:
    """Return the connections of a target that no base quota covers.

    :param connection_limit: connections that the target accepts.
    :param entries_limit: the operator's bound on the entries in front of the group.
    :param entries: entries in the roster, which may exceed the bound.
    """
    base = connection_limit // entries_limit
    return max(0, connection_limit - base * max(entries, entries_limit))


def _pool(tick: Tick, target: tuple[str, str]) -> int:
    seen = tick.local.sightings.find(*target)
    settings = tick.document.group(target[0])
    if seen is None or settings is None:
        return 0
    return count_lendable(
        seen.announcement.connection_limit,
        settings.entries_limit,
        len(tick.state.roster()),
    )


def _available(tick: Tick, target: tuple[str, str], borrower: EntryContact) -> int:
    others = sum(
        tick.local.loans.outstanding(target, contact, tick.now)
        for contact in tick.local.entries.contacts
        if contact.key != borrower.key
    )
    return _pool(tick, target) - others


def _fair_share(tick: Tick, target: tuple[str, str], demand: int) -> int:
    """Share the pool by max-min fairness among the entries that hold a lease."""
    demands = sorted(
        _use(contact, target).demand
        for contact in tick.local.entries.contacts
        if contact.lease_until > tick.now
    )
    left = _pool(tick, target)
    for position, smaller in enumerate(demands):
        share = left // (len(demands) - position)
        if smaller >= share:
            return min(demand, share or min(left, 1))
        left -= smaller
    return demand


def _use(contact: EntryContact, target: tuple[str, str]) -> messages.QuotaUse:
    for use in contact.quota_use:
        if (use.group, use.instance) == target:
            return use
    return messages.QuotaUse(group=target[0], instance=target[1], lent_in_use=0, demand=0)
