"""Loans of the credits of one workspace."""

from collections import deque
from typing import Final

import msgspec

from bergamotcart.workspaces._allowance import Allowance, Cap, CapSettings
from bergamotcart.workspaces._token_bucket import TokenBucket

# Length of the intervals in which spent credits are counted for operators.
_COUNT_INTERVAL_S: Final = 0.5
# Share of the lasting allowance that is lent for operations to come. The rest is for operations
# that wait for their first credit.
_STANDING_SHARE: Final = 0.5
# Credits are scarce for this time after operations had to wait for the reports of other entries. It
# spans several lease renewals, so that all entries give back what they do not use.
_SCARCITY_S: Final = 1.0


class Loan(msgspec.Struct):
    """Credits of one workspace lent to one entry, as totals of its account.

    :param changed_at: number of the report whose answer last raised ``lent``.
    """

    lent: int = 0
    spent: int = 0
    returned: int = 0
    changed_at: int = 0

    @property
    def outstanding(self) -> int:
        """Credits that the entry may still spend."""
        return self.lent - self.spent - self.returned


class NewLoan(msgspec.Struct, frozen=True):
    """Credits lent in answer to one report.

    :param room_in_s: seconds until there is room for those that were not lent; negative if all
        waiting operations got one.
    """

    credits: int
    room_in_s: float = -1


class WorkspaceLoans:
    """Lends the credits of one workspace within its cap and its allowance.

    :param settings: settings of all caps.
    :param max_wait_s: seconds for which operations wait for a credit.
    """

    __slots__ = (
        '_adopted',
        '_allowance',
        '_bucket',
        '_cap',
        '_holders',
        '_outstanding',
        '_scarce_until',
        '_settings',
        '_spent',
    )

    def __init__(self, now: float, cap: Cap, settings: CapSettings, max_wait_s: float) -> None:
        """Create it without loans and with an empty bucket."""
        self._settings = settings
        self._cap: Cap | None = cap
        self._bucket = TokenBucket(now, cap, max_wait_s)
        self._allowance = Allowance.of(cap, settings)
        self._outstanding = 0
        self._holders = 0
        # Credits of a former leader that entries have reported to hold.
        self._adopted = 0
        self._scarce_until = float('-inf')
        self._spent: deque[tuple[float, int]] = deque()

    @property
    def cap(self) -> Cap | None:
        """The cap, or ``None`` once it was removed."""
        return self._cap

    @property
    def outstanding(self) -> int:
        """Credits that entries may still spend, as far as this leader knows."""
        return self._outstanding

    @property
    def is_within_lasting_allowance(self) -> bool:
        """Whether no more credits are lent than a leader without a predecessor may lend."""
        return self._outstanding <= self._allowance.lasting

    def is_scarce(self, now: float) -> bool:
        """Tell whether operations lately waited although the cap had room.

        Entries then give back the credits that they hold for operations to come.
        """
        return now < self._scarce_until

    def change_cap(self, now: float, cap: Cap | None, max_wait_s: float) -> None:
        """Use another cap from now on; credits beyond a lower one run out.

        :param max_wait_s: seconds for which operations wait for a credit.
        """
        self._bucket.max_wait_s = max_wait_s
        if cap == self._cap:
            return
        self._cap = cap
        if cap is None:
            self._allowance = Allowance(0, 0)
            return
        self._bucket.change_cap(now, cap)
        self._allowance = Allowance.of(cap, self._settings)

    def adopt(self, loan: Loan, *, is_from_former_leader: bool) -> None:
        """Count the credits that an entry reports to hold and that this leader did not lend."""
        self._count_change(0, loan.outstanding)
        if is_from_former_leader:
            self._adopted += loan.outstanding

    def record_use(self, now: float, loan: Loan, spent: int, returned: int) -> None:
        """Store the totals of a report; totals that are not greater than before change nothing."""
        newly_spent = max(0, spent - loan.spent)
        newly_returned = max(0, returned - loan.returned)
        if newly_spent + newly_returned == 0:
            return
        before = loan.outstanding
        loan.spent += newly_spent
        loan.returned += newly_returned
        loan.lent = max(loan.lent, loan.spent + loan.returned)
        self._count_change(before, loan.outstanding)
        self._record_spent(now, newly_spent)
        if newly_returned:
            self._bucket.give_back(now, min(newly_returned, before))

    def drop(self, loan: Loan) -> None:
        """Forget a loan whose credits have certainly expired."""
        self._count_change(loan.outstanding, 0)

    def lend(
        self, now: float, borrower: str, loan: Loan, waiting: int, standing: int, *, limit: int
    ) -> NewLoan:
        """Lend credits to an entry.

        :param waiting: operations of the entry that wait for a credit.
        :param standing: credits that it would like to hold besides.
        :param limit: greatest number of outstanding credits of all entries (``find_limit``).
        """
        if self._cap is None:
            return NewLoan(0)
        lent = 0
        needed = max(0, waiting - loan.outstanding)
        if needed:
            room = max(0, limit - self._outstanding)
            if room < needed:
                # Entries that ask later must find some room, too.
                room = (room + 1) // 2
            taken = self._bucket.take(now, borrower, needed, room)
            lent = taken.tokens
            self._raise_loan(loan, lent)
            if taken.room_in_s == 0:
                self._scarce_until = now + _SCARCITY_S
            if taken.room_in_s is not None:
                return NewLoan(lent, taken.room_in_s)
        if self.is_scarce(now):
            return NewLoan(lent)
        extra = self._count_standing(now, loan, waiting + standing, limit)
        if extra:
            self._bucket.take_spare(extra)
            self._raise_loan(loan, extra)
        return NewLoan(lent + extra)

    def find_limit(self, *, is_taking_over: bool, has_reserve: bool) -> int:
        """Return the greatest number of outstanding credits.

        While loans of a former leader may be in use, at most ``lasting`` credits of them are, and
        those that entries have reported to hold are among them. Without the reserve, the former
        leader may have used it as well.

        :param is_taking_over: whether loans of a former leader may be in use that this one does
            not know.
        :param has_reserve: whether the former leader has certainly not used the reserve.
        """
        if not is_taking_over:
            return self._allowance.lasting
        reserved = self._allowance.reserved if has_reserve else 0
        return min(self._allowance.lasting, reserved + self._adopted)

    def count_spent(self, now: float) -> int:
        """Return the credits reported as spent within the last window."""
        self._discard_old_counts(now)
        return sum(count for _, count in self._spent)

    def _count_standing(self, now: float, loan: Loan, desired: int, limit: int) -> int:
        if desired <= loan.outstanding:
            return 0
        pool = int(limit * _STANDING_SHARE)
        share = max(1, pool // max(1, self._holders))
        wanted = min(desired, share) - loan.outstanding
        room = min(wanted, pool - self._outstanding)
        return min(room, self._bucket.count_spare(now)) if room > 0 else 0

    def _raise_loan(self, loan: Loan, added: int) -> None:
        self._count_change(loan.outstanding, loan.outstanding + added)
        loan.lent += added

    def _count_change(self, before: int, after: int) -> None:
        self._outstanding += after - before
        self._holders += (after > 0) - (before > 0)

    def _record_spent(self, now: float, count: int) -> None:
        self._discard_old_counts(now)
        started_at = now - now % _COUNT_INTERVAL_S
        if self._spent and self._spent[-1][0] == started_at:
            count += self._spent.pop()[1]
        self._spent.append((started_at, count))

    def _discard_old_counts(self, now: float) -> None:
        while self._spent and self._spent[0][0] < now - self._settings.window_s:
            self._spent.popleft()
