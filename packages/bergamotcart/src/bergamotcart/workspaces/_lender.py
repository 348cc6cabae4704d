"""Lends credits of all capped workspaces to entries; the leader of control has one."""

from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from bergamotcart.messages import CapLoan, CapLoans, CapReport, CapUse
from bergamotcart.workspaces._allowance import DEFAULT_WAIT_S, Cap, CapSettings
from bergamotcart.workspaces._workspace_loans import Loan, WorkspaceLoans


class CapStatus(msgspec.Struct, frozen=True):
    """Cap of one workspace for operators.

    :param spent: operations reported within the last window.
    :param outstanding: credits lent and not known to be spent, returned or expired.
    :param holders: names of the entries that hold them, with their numbers.
    """

    workspace: str
    cap: Cap
    spent: int
    outstanding: int
    holders: dict[str, int]


class _Account(msgspec.Struct):
    """Loans to one incarnation of an entry.

    :param number: account number of the entry.
    :param newest_report: number of its newest report.
    :param expires_at: time at which all its credits have certainly expired, in seconds.
    :param unconfirmed: workspaces whose loans the entry may not have applied yet.
    """

    number: int
    newest_report: int
    expires_at: float
    loans: dict[str, Loan] = msgspec.field(default_factory=dict)
    unconfirmed: set[str] = msgspec.field(default_factory=set)


def find_former_loans_end(elected_at: float, settings: CapSettings) -> float:
    """Return the time until which credits that a former leader lent may be in use.

    The drift margin counts twice, because the clocks of two members are involved.

    :param elected_at: time at which this member became the leader, in seconds.
    """
    return elected_at + settings.validity_s * (1 + 2 * settings.drift_margin)


class CapLender:
    """Lends credits and keeps those that may be in use within the allowance of each workspace.

    An answer to a report concerns only the entry that sent it and the workspaces in it, so its cost
    does not grow with the numbers of entries and workspaces.

    :param settings: settings of all caps.
    :param term: control term of this leader.
    :param former_loans_end: time in seconds until which loans of a former leader may be in use.
    :param has_reserve: whether the former leader was past that time itself, so that it lent nothing
        from the reserve.
    """

    __slots__ = (
        '_accounts',
        '_caps',
        '_former_loans_end',
        '_has_reserve',
        '_scarce',
        '_settings',
        '_term',
        '_workspaces',
    )

    def __init__(
        self, settings: CapSettings, term: int, former_loans_end: float, *, has_reserve: bool
    ) -> None:
        """Create a lender without workspaces and accounts."""
        self._settings = settings
        self._term = term
        self._former_loans_end = former_loans_end
        self._has_reserve = has_reserve
        self._caps: Mapping[str, Cap] = {}
        self._scarce: set[str] = set()
        self._workspaces: dict[str, WorkspaceLoans] = {}
        # Ordered by the time of expiry: every answer extends the account and moves it to the end.
        self._accounts: OrderedDict[str, _Account] = OrderedDict()

    def is_settled(self, now: float) -> bool:
        """Tell whether all loans in use are this leader's, and within the lasting allowance."""
        return now >= self._former_loans_end and all(
            loans.is_within_lasting_allowance for loans in self._workspaces.values()
        )

    def change_caps(
        self, now: float, caps: Mapping[str, Cap], max_wait_s: float = DEFAULT_WAIT_S
    ) -> None:
        """Use other caps from now on.

        A workspace without a cap is kept until its loans have run out, because they would count if
        it got a cap again.

        :param max_wait_s: seconds for which operations wait for a credit.
        """
        self._caps = caps
        for name, loans in tuple(self._workspaces.items()):
            loans.change_cap(now, caps.get(name), max_wait_s)
            if loans.cap is None and loans.outstanding == 0:
                self._forget_workspace(name)
        for name, cap in caps.items():
            if name not in self._workspaces:
                self._workspaces[name] = WorkspaceLoans(now, cap, self._settings, max_wait_s)

    def answer_report(self, now: float, borrower: str, report: CapReport) -> CapLoans | None:
        """Record the report of an entry and lend it credits.

        :param borrower: name and incarnation of the entry.
        :returns: the answer, or ``None`` for a report that a newer one has replaced.
        """
        self._drop_expired_accounts(now)
        account = self._accounts.get(borrower)
        if report.term != self._term:
            return self._refuse_unknown(report)
        if account is None or report.account > account.number:
            if not report.is_complete:
                return self._refuse_unknown(report)
            account = self._open_account(now, borrower, account, report)
        elif report.account < account.number or report.number < account.newest_report:
            return None
        is_repeated = report.number == account.newest_report
        account.newest_report = report.number
        # The entry counts from the time at which it sent the report, so its credits expire earlier.
        account.expires_at = now + self._settings.validity_s * (1 + self._settings.drift_margin)
        self._accounts.move_to_end(borrower)
        self._record_uses(now, account, report)
        new_loans = {} if is_repeated else self._lend_to_account(now, borrower, account, report)
        return self._build_answer(now, account, report, new_loans)

    def list_statuses(self, now: float) -> list[CapStatus]:
        """Return the status of each capped workspace for operators, ordered by name."""
        self._drop_expired_accounts(now)
        return [
            CapStatus(
                name,
                cap,
                self._workspaces[name].count_spent(now),
                self._workspaces[name].outstanding,
                {
                    borrower: account.loans[name].outstanding
                    for borrower, account in self._accounts.items()
                    if name in account.loans and account.loans[name].outstanding
                },
            )
            for name, cap in sorted(self._caps.items())
        ]

    def _open_account(
        self, now: float, borrower: str, former: _Account | None, report: CapReport
    ) -> _Account:
        """Open an account, and count the credits that the entry holds already.

        An entry opens another account when all credits of its former one have expired.
        """
        if former is not None:
            self._close_account(former)
        account = _Account(report.account, report.number - 1, now)
        self._accounts[borrower] = account
        is_taking_over = former is None and now < self._former_loans_end
        for use in report.uses:
            self._open_loan(account, use, is_from_former_leader=is_taking_over)
        return account

    def _open_loan(
        self, account: _Account, use: CapUse, *, is_from_former_leader: bool = False
    ) -> None:
        loans = self._workspaces.get(use.workspace)
        if loans is None or use.workspace in account.loans:
            return
        lent = max(use.total, use.spent + use.returned)
        loan = Loan(lent, use.spent, use.returned)
        account.loans[use.workspace] = loan
        loans.adopt(loan, is_from_former_leader=is_from_former_leader)

    def _record_uses(self, now: float, account: _Account, report: CapReport) -> None:
        for use in report.uses:
            self._open_loan(account, use)
            loan = account.loans.get(use.workspace)
            if loan is not None:
                loans = self._workspaces[use.workspace]
                loans.record_use(now, loan, use.spent, use.returned)
                if loans.cap is None and loans.outstanding == 0:
                    self._forget_workspace(use.workspace)
        account.unconfirmed = {
            name
            for name in account.unconfirmed
            if name in account.loans and account.loans[name].changed_at > report.applied
        }

    def _lend_to_account(
        self, now: float, borrower: str, account: _Account, report: CapReport
    ) -> dict[str, float]:
        """Lend what the report asks for.

        :returns: seconds until there is room for more, by workspace with waiting operations.
        """
        room_in_s: dict[str, float] = {}
        is_taking_over = now < self._former_loans_end
        for use in report.uses:
            loan = account.loans.get(use.workspace)
            if loan is None:
                continue
            loans = self._workspaces[use.workspace]
            limit = loans.find_limit(is_taking_over=is_taking_over, has_reserve=self._has_reserve)
            new_loan = loans.lend(now, borrower, loan, use.waiting, use.standing, limit=limit)
            if new_loan.credits:
                loan.changed_at = report.number
                account.unconfirmed.add(use.workspace)
            if loans.is_scarce(now):
                self._scarce.add(use.workspace)
            if new_loan.room_in_s >= 0:
                room_in_s[use.workspace] = new_loan.room_in_s
        return room_in_s

    def _build_answer(
        self, now: float, account: _Account, report: CapReport, room_in_s: dict[str, float]
    ) -> CapLoans:
        # A repeated report is answered like a lost answer: with the totals alone.
        listed = {
            use.workspace
            for use in report.uses
            if use.workspace in account.loans and account.loans[use.workspace].lent > use.total
        }
        scarce = {
            name
            for name in self._list_scarce(now)
            if name in account.loans and account.loans[name].outstanding
        }
        names = sorted(listed | account.unconfirmed | scarce | room_in_s.keys())
        return CapLoans(
            report.number,
            report.account,
            self._settings.validity_s,
            loans=tuple(
                CapLoan(
                    name,
                    account.loans[name].lent,
                    room_in_s.get(name, -1),
                    0 if name in scarce else -1,
                )
                for name in names
            ),
        )

    def _list_scarce(self, now: float) -> set[str]:
        self._scarce = {
            name
            for name in self._scarce
            if name in self._workspaces and self._workspaces[name].is_scarce(now)
        }
        return self._scarce

    def _refuse_unknown(self, report: CapReport) -> CapLoans:
        return CapLoans(report.number, report.account, self._settings.validity_s, is_unknown=True)

    def _drop_expired_accounts(self, now: float) -> None:
        while self._accounts:
            borrower, account = next(iter(self._accounts.items()))
            if account.expires_at > now:
                return
            self._accounts.pop(borrower)
            self._close_account(account)

    def _close_account(self, account: _Account) -> None:
        for name, loan in tuple(account.loans.items()):
            loans = self._workspaces.get(name)
            if loans is not None:
                loans.drop(loan)
                if loans.cap is None and loans.outstanding == 0:
                    self._forget_workspace(name)

    def _forget_workspace(self, name: str) -> None:
        self._workspaces.pop(name)
        for account in self._accounts.values():
            account.loans.pop(name, None)
            account.unconfirmed.discard(name)
