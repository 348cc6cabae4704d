"""Loans of the connections that no base quota covers; control grants them to entries."""

from collections.abc import Iterable

import msgspec


class Grant(msgspec.Struct, frozen=True):
    """A lease grant that carries loans.

    :param sent_at: ``echo_sent_at`` of the grant, which grows with each request of a borrower.
    :param expires_at: time in seconds, on control's clock, by which the lease has certainly
        expired.
    """

    sent_at: float
    expires_at: float


class _Loan(msgspec.Struct, frozen=True):
    grant: Grant
    connections: int


class TargetLender:
    """Lends the connections of one target to entries.

    Every grant that a borrower may still apply counts, not only the newest one: a smaller
    grant may be delayed or lost, and the borrower then keeps using the larger one before it.
    """

    __slots__ = ('_demands', '_loans', '_lending_starts_at')

    def __init__(self, lending_starts_at: float) -> None:
        """Initialize without loans.

        :param lending_starts_at: time in seconds before which nothing is lent, because loans of
            a former leader may still be in use.
        """
        self._lending_starts_at = lending_starts_at
        self._loans: dict[str, list[_Loan]] = {}
        self._demands: dict[str, int] = {}

    def outstanding(self, now: float, borrower: str) -> int:
        """Return the number of connections that a borrower may have in use beyond its base quota.

        :param now: current time in seconds.
        :param borrower: name and incarnation of the entry.
        """
        self._drop_expired_loans(now, borrower)
        return max((loan.connections for loan in self._loans.get(borrower, ())), default=0)

    def record_applied_grant(self, borrower: str, sent_at: float, in_use: int) -> None:
        """Drop the loans that a borrower can no longer use, given the grant that it applied.

        A borrower never applies a grant older than the one in force, so older loans are void.
        Connections that it has not closed yet still count until the last of the remaining
        loans expires.

        :param borrower: name and incarnation of the entry.
        :param sent_at: ``sent_at`` of the grant in force when the borrower reported.
        :param in_use: lent connections that the borrower had open then.
        """
        loans = self._loans.get(borrower, [])
        valid = [loan for loan in loans if loan.grant.sent_at >= sent_at]
        if valid:
            latest_expiry = max(loan.grant.expires_at for loan in valid)
            valid.append(_Loan(Grant(sent_at, latest_expiry), in_use))
            self._loans[borrower] = valid

    def lend(self, now: float, borrower: str, grant: Grant, demand: int, pool: int) -> int:
        """Return the number of connections that a new grant lends to a borrower.

        :param now: current time in seconds.
        :param borrower: name and incarnation of the entry.
        :param grant: the lease grant that will carry the loan.
        :param demand: connections beyond its base quota that the borrower could use.
        :param pool: connections of the target that no base quota covers.
        :returns: number of connections lent until the grant expires.
        """
        if now < self._lending_starts_at:
            return 0
        for other_borrower in tuple(self._loans):
            self._drop_expired_loans(now, other_borrower)
        self._demands[borrower] = demand
        lent_to_others = sum(
            self.outstanding(now, other) for other in self._loans if other != borrower
        )
        share = divide_fairly(pool, self._demands)[borrower]
        lent = max(min(share, pool - lent_to_others), 0)
        # A loan of zero connections is stored too: it keeps the borrower's demand in the division.
        self._loans.setdefault(borrower, []).append(_Loan(grant, lent))
        return lent

    def _drop_expired_loans(self, now: float, borrower: str) -> None:
        valid = [loan for loan in self._loans.get(borrower, ()) if loan.grant.expires_at > now]
        if valid:
            self._loans[borrower] = valid
        else:
            self._loans.pop(borrower, None)
            self._demands.pop(borrower, None)


def divide_fairly(pool: int, demands: dict[str, int]) -> dict[str, int]:
    """Divide connections by max-min fairness.

    A borrower gets more than another only if the demand of the other is met.

    :param pool: number of connections to divide.
    :param demands: requested connections by borrower.
    :returns: connections by borrower.
    """
    shares: dict[str, int] = {}
    remaining = max(pool, 0)
    for borrower, demand in _sort_by_demand(demands):
        shares[borrower] = min(demand, remaining // (len(demands) - len(shares)))
        remaining -= shares[borrower]
    return shares


def _sort_by_demand(demands: dict[str, int]) -> Iterable[tuple[str, int]]:
    return sorted(demands.items(), key=lambda demand: (demand[1], demand[0]))
