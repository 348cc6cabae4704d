"""Credits that an entry holds, and its reports to the lender."""

from collections.abc import Mapping
from typing import Final

import msgspec

from bergamotcart.messages import CapLoan, CapLoans, CapReport, CapUse

_MAX_REMEMBERED_REPORTS: Final = 64


class Desire(msgspec.Struct, frozen=True):
    """Credits of one workspace that an entry would like to have.

    :param waiting: operations that wait for a credit.
    :param standing: credits for operations to come.
    """

    waiting: int = 0
    standing: int = 0


_NOTHING: Final = Desire()


class _Held(msgspec.Struct):
    """Credits of one workspace, as totals of the account.

    :param reserved: credits that waiting operations have taken and not spent yet.
    :param kept: unused credits that the lender lets the entry keep; negative without such a limit.
    :param changed_at: number of the newest report that was sent before the totals changed.
    """

    total: int = 0
    spent: int = 0
    returned: int = 0
    reserved: int = 0
    kept: int = -1
    changed_at: int = -1

    @property
    def free(self) -> int:
        """Credits that an operation may take."""
        return self.total - self.spent - self.returned - self.reserved


class CreditHolder:
    """Credits of one incarnation of an entry.

    All credits of an account are valid until a time on the clock of the entry, which each answer of
    the lender extends. Then they are void, and the entry opens an account with a greater number.

    :param drift_margin: greatest share by which this clock may run slower than the lender's.
    :param first_number: first number of a report and of an account. A random number keeps answers
        to a former incarnation apart.
    """

    __slots__ = (
        '_account',
        '_applied',
        '_drift_margin',
        '_held',
        '_is_known',
        '_number',
        '_sent',
        '_term',
        '_valid_until',
    )

    def __init__(self, drift_margin: float, first_number: int) -> None:
        """Create a holder without credits."""
        self._drift_margin = drift_margin
        self._account = first_number
        self._number = first_number
        self._applied = 0
        self._term = 0
        self._is_known = False
        self._valid_until = float('-inf')
        self._held: dict[str, _Held] = {}
        self._sent: dict[int, float] = {}

    @property
    def workspaces(self) -> tuple[str, ...]:
        """Workspaces of which credits were lent in this account."""
        return tuple(self._held)

    @property
    def newest_answer(self) -> int:
        """Greatest number of a report whose answer was applied."""
        return self._applied

    def record_term(self, term: int) -> None:
        """Record a control term; loans of earlier terms are ignored from now on."""
        if term > self._term:
            self._term = term
            self._is_known = False

    def count_free(self, now: float, workspace: str) -> int:
        """Return the credits that operations of a workspace may take."""
        self._drop_expired(now)
        held = self._held.get(workspace)
        return held.free if held else 0

    def reserve(self, now: float, workspace: str) -> int | None:
        """Take a credit for an operation that has not been sent yet.

        :returns: the account of the credit, or ``None`` if there is none.
        """
        if self.count_free(now, workspace) <= 0:
            return None
        self._held[workspace].reserved += 1
        return self._account

    def release(self, now: float, workspace: str, account: int) -> None:
        """Give back the credit of an operation that was not sent."""
        self._drop_expired(now)
        held = self._held.get(workspace)
        if account == self._account and held is not None and held.reserved > 0:
            held.reserved -= 1

    def spend(self, now: float, workspace: str, account: int) -> bool:
        """Spend the credit of an operation, immediately before it is sent.

        :param account: result of ``reserve``.
        :returns: whether the credit was still valid.
        """
        self._drop_expired(now)
        held = self._held.get(workspace)
        if account != self._account or held is None or held.reserved <= 0:
            return False
        held.reserved -= 1
        held.spent += 1
        held.changed_at = self._number
        return True

    def return_free(self, now: float, workspace: str, kept: int = 0) -> None:
        """Give back the credits that no operation has taken, except for some.

        :param kept: number of credits to keep.
        """
        excess = self.count_free(now, workspace) - kept
        if excess > 0:
            held = self._held[workspace]
            held.returned += excess
            held.changed_at = self._number

    def revoke(self, now: float, workspace: str) -> None:
        """Give back all credits that are not spent, also those of operations that wait to be sent.

        Those operations need another credit then.
        """
        self._drop_expired(now)
        held = self._held.get(workspace)
        if held is not None:
            held.reserved = 0
            self.return_free(now, workspace)

    def build_report(self, now: float, desires: Mapping[str, Desire]) -> CapReport:
        """Return the next report: changed totals, and the workspaces that lack credits.

        :param desires: credits that the entry would like to have, by workspace.
        """
        self._drop_expired(now)
        self._number += 1
        self._sent[self._number] = now
        if len(self._sent) > _MAX_REMEMBERED_REPORTS:
            self._sent.pop(next(iter(self._sent)))
        self._return_scarce(now, desires)
        names = {*self._held, *desires}
        uses = (self._describe(name, desires.get(name, _NOTHING)) for name in sorted(names))
        return CapReport(
            account=self._account,
            number=self._number,
            applied=self._applied,
            term=self._term,
            is_complete=not self._is_known,
            uses=tuple(use for use in uses if use is not None),
        )

    def accept_loans(self, now: float, term: int, loans: CapLoans) -> bool:
        """Apply an answer of the lender.

        :param term: control term of the lender.
        :returns: whether the answer was applied; a repeated one changes nothing.
        """
        self._drop_expired(now)
        if term < self._term:
            return False
        self.record_term(term)
        sent_at = self._sent.get(loans.number)
        if sent_at is None or loans.account != self._account:
            return False
        if loans.is_unknown:
            self._is_known = False
            return True
        valid_until = sent_at + loans.validity_s * (1 - self._drift_margin)
        if valid_until <= now:
            return False
        self._is_known = True
        self._valid_until = max(self._valid_until, valid_until)
        self._applied = max(self._applied, loans.number)
        for loan in loans.loans:
            self._apply_loan(loan)
        return True

    def _return_scarce(self, now: float, desires: Mapping[str, Desire]) -> None:
        """Give back unused credits that other entries wait for."""
        for name, held in self._held.items():
            if held.kept >= 0 and not desires.get(name, _NOTHING).waiting:
                self.return_free(now, name, held.kept)
                held.kept = -1

    def _apply_loan(self, loan: CapLoan) -> None:
        held = self._held.setdefault(loan.workspace, _Held())
        # Totals only grow, so an answer that arrives late or twice adds nothing.
        held.total = max(held.total, loan.total)
        held.kept = loan.kept

    def _describe(self, workspace: str, desire: Desire) -> CapUse | None:
        """Return the part of a report for a workspace, or ``None`` if the lender needs none."""
        held = self._held.get(workspace) or _Held()
        is_changed = held.changed_at >= self._applied
        lacks = desire.waiting + desire.standing > held.free
        if not (is_changed or lacks) and (self._is_known or held.total == 0):
            return None
        return CapUse(
            workspace,
            held.spent,
            held.returned,
            held.total,
            # The lender compares with all outstanding credits, of which some are taken.
            desire.waiting + held.reserved if desire.waiting else 0,
            desire.standing if desire.waiting else desire.standing + held.reserved,
        )

    def _drop_expired(self, now: float) -> None:
        if self._valid_until == float('-inf') or now < self._valid_until:
            return
        self._account += 1
        self._valid_until = float('-inf')
        self._is_known = False
        self._held.clear()
        self._sent.clear()
