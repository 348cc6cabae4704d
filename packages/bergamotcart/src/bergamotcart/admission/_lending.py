"""Lending of the connections that no base quota covers, on the side of control."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """Identifies a lease grant that carries loans.

    :param sent_at: ``echo_sent_at`` of the grant, which grows with each request of a borrower.
    :param until: time in seconds at which the lease has certainly ended, on control's clock.
    """

    sent_at: float
    until: float


@dataclass(frozen=True, slots=True)
class _Loan:
    grant: Grant
    lent: int


class TargetLender:
    """Loans of one target's connections.

    Every grant that a borrower may still apply counts, not only the newest one: a smaller
    grant may be late or lost, and then the borrower goes on using the larger one before it.
    """

    __slots__ = ('_demands', '_loans', '_opens_at')

    def __init__(self, opens_at: float) -> None:
        """Start without loans.

        :param opens_at: time in seconds from which connections are lent; before it, loans
            of a former leader may be in use.
        """
        self._opens_at = opens_at
        self._loans: dict[str, list[_Loan]] = {}
        self._demands: dict[str, int] = {}

    def outstanding(self, now: float, borrower: str) -> int:
        """Connections that a borrower may have in use beyond its base quota.

        :param now: current time in seconds.
        :param borrower: identity of the entry, with its incarnation.
        """
        self._expire(now, borrower)
        return max((loan.lent for loan in self._loans.get(borrower, ())), default=0)

    def note_applied(self, borrower: str, sent_at: float, in_use: int) -> None:
        """Take back what a borrower has certainly returned.

        A borrower never applies a grant older than the one in force, so those are void.
        Connections that it has not closed yet still count, until the newest loan ends.

        :param borrower: identity of the entry.
        :param sent_at: ``sent_at`` of the grant in force when it reported.
        :param in_use: lent connections that it then had open.
        """
        loans = self._loans.get(borrower, [])
        kept = [loan for loan in loans if loan.grant.sent_at >= sent_at]
        if kept:
            newest = max(loan.grant.until for loan in kept)
            kept.append(_Loan(Grant(sent_at, newest), in_use))
            self._loans[borrower] = kept

    def lend(self, now: float, borrower: str, grant: Grant, demand: int, pool: int) -> int:
        """Decide what a borrower's new grant lends.

        :param now: current time in seconds.
        :param borrower: identity of the entry.
        :param grant: the lease grant that will carry the loan.
        :param demand: connections beyond its base quota that the borrower could use.
        :param pool: connections of the target that no base quota covers.
        :returns: number of connections lent until the grant ends.
        """
        if now < self._opens_at:
            return 0
        for known in tuple(self._loans):
            self._expire(now, known)
        self._demands[borrower] = demand
        others = sum(self.outstanding(now, other) for other in self._loans if other != borrower)
        share = divide_fairly(pool, self._demands)[borrower]
        lent = max(min(share, pool - others), 0)
        # A loan of nothing is kept too: it holds the borrower's place in the division.
        self._loans.setdefault(borrower, []).append(_Loan(grant, lent))
        return lent

    def _expire(self, now: float, borrower: str) -> None:
        kept = [loan for loan in self._loans.get(borrower, ()) if loan.grant.until > now]
        if kept:
            self._loans[borrower] = kept
        else:
            self._loans.pop(borrower, None)
            self._demands.pop(borrower, None)


def divide_fairly(pool: int, demands: dict[str, int]) -> dict[str, int]:
    """Divide by max-min fairness: nobody gets more unless all with less are satisfied.

    :param pool: number of connections.
    :param demands: wanted connections by borrower.
    :returns: connections by borrower.
    """
    shares: dict[str, int] = {}
    left = max(pool, 0)
    for borrower, demand in _by_demand(demands):
        shares[borrower] = min(demand, left // (len(demands) - len(shares)))
        left -= shares[borrower]
    return shares


def _by_demand(demands: dict[str, int]) -> Iterable[tuple[str, int]]:
    return sorted(demands.items(), key=lambda demand: (demand[1], demand[0]))
