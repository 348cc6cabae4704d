"""Rules of the lender and of the holder of credits."""

import pytest

from bergamotcart.messages import CapLoans, CapReport, CapUse
from bergamotcart.workspaces import (
    Allowance,
    Cap,
    CapLender,
    CapSettings,
    CreditHolder,
    Desire,
    find_former_loans_end,
)

_CAP = Cap(10, 10)
_SETTINGS = CapSettings()
_ALLOWANCE = Allowance.of(_CAP, _SETTINGS)
_TERM = 1
_NAME = 'w'


class _Entry:
    """A holder, and the lender that it reports to."""

    def __init__(self, lender: CapLender, name: str = 'e1') -> None:
        self.holder = CreditHolder(_SETTINGS.drift_margin, 1)
        self.holder.record_term(_TERM)
        self._lender = lender
        self._name = name

    def report(self, now: float, waiting: int, standing: int = 0) -> CapLoans:
        """Report to the lender and apply its answer."""
        report = self.holder.build_report(now, {_NAME: Desire(waiting, standing)})
        answer = self._lender.answer_report(now, self._name, report)
        assert answer is not None
        self.holder.accept_loans(now, _TERM, answer)
        return answer

    def spend_all(self, now: float) -> int:
        """Spend all free credits and return their number."""
        free = self.holder.count_free(now, _NAME)
        for _ in range(free):
            credit = self.holder.reserve(now, _NAME)
            assert credit is not None
            assert self.holder.spend(now, _NAME, credit)
        return free


def _lender(cap: Cap = _CAP, former_loans_end: float = 0, *, has_reserve: bool = True) -> CapLender:
    lender = CapLender(_SETTINGS, _TERM, former_loans_end, has_reserve=has_reserve)
    lender.change_caps(0, {_NAME: cap})
    return lender


def test_bucket_of_a_new_leader_is_empty() -> None:
    """Guards against tokens that the former leader has lent already."""
    entry = _Entry(_lender())
    entry.report(0, waiting=5)
    assert entry.spend_all(0) == 0


def test_no_place_is_kept_for_longer_than_operations_wait() -> None:
    """A place of an operation that gave up kept others from the tokens of a reached cap."""
    lender = _lender()
    max_wait_s = 0.125
    lender.change_caps(0, {_NAME: Cap(10, 1)}, max_wait_s)
    patient, urgent = _Entry(lender, 'e1'), _Entry(lender, 'e2')
    patient.report(0, waiting=1)
    rooms = [
        entry.report(now, waiting=1).loans[0].room_in_s
        for entry, now in ((patient, 0.02), (urgent, 0.02), (urgent, 0.15))
    ]
    # The second one gets no place, since its operation would not wait for it.
    assert [room_in_s <= max_wait_s for room_in_s in rooms] == [True, False, True]


@pytest.mark.parametrize(('has_reserve', 'lent'), [(True, _ALLOWANCE.reserved), (False, 0)])
def test_new_leader_lends_only_the_reserve(has_reserve: bool, lent: int) -> None:
    """Guards against loans beyond the allowance while those of a former leader may be in use."""
    end = find_former_loans_end(0, _SETTINGS)
    assert end >= _SETTINGS.validity_s * (1 + 2 * _SETTINGS.drift_margin)
    lender = _lender(former_loans_end=end, has_reserve=has_reserve)
    entries = [_Entry(lender, f'e{index}') for index in range(8)]
    for entry in entries:
        entry.report(2, waiting=9)
    assert sum(entry.spend_all(2) for entry in entries) == lent
    assert not lender.is_settled(end - 0.01)
    entries[0].report(end, waiting=9)
    assert entries[0].spend_all(end) > 0


def test_reported_credits_of_a_former_leader_are_replaced() -> None:
    """Guards against a pause of service until the loans of a former leader have expired."""
    lender = _lender(former_loans_end=3, has_reserve=False)
    report = CapReport(1, 1, 0, _TERM, is_complete=True, uses=(CapUse(_NAME, 4, 0, 6),))
    lender.answer_report(1, 'e1', report)
    spent = CapReport(1, 2, 1, _TERM, uses=(CapUse(_NAME, 6, 0, 6, waiting=5),))
    answer = lender.answer_report(1.5, 'e1', spent)
    assert answer is not None
    assert answer.loans[0].total in {7, 8}


def test_loans_of_a_former_leader_are_ignored() -> None:
    """Guards against credits that the newer leader does not count."""
    lender = _lender()
    holder = CreditHolder(_SETTINGS.drift_margin, 1)
    holder.record_term(_TERM)
    report = holder.build_report(1, {_NAME: Desire(1)})
    answer = lender.answer_report(1, 'e1', report)
    holder.record_term(_TERM + 1)
    assert answer is not None
    assert not holder.accept_loans(1, _TERM, answer)
    assert holder.reserve(1, _NAME) is None


def test_validity_starts_when_the_report_is_sent() -> None:
    """Guards against credits that outlive their loan because the answer was late."""
    lender = _lender()
    entry = _Entry(lender)
    report = entry.holder.build_report(1, {_NAME: Desire(1)})
    answer = lender.answer_report(1, 'e1', report)
    assert answer is not None
    assert entry.holder.accept_loans(3, _TERM, answer)
    valid_until = 1 + _SETTINGS.validity_s * (1 - _SETTINGS.drift_margin)
    credit = entry.holder.reserve(valid_until - 0.01, _NAME)
    assert credit is not None
    assert not entry.holder.spend(valid_until, _NAME, credit)


def test_repeated_report_lends_nothing() -> None:
    """Guards against a duplicate of a message that lends again."""
    lender = _lender()
    report = CreditHolder(_SETTINGS.drift_margin, 1).build_report(0.1, {_NAME: Desire(3)})
    complete = CapReport(report.account, 2, 0, _TERM, is_complete=True, uses=report.uses)
    first = lender.answer_report(0.1, 'e1', complete)
    again = lender.answer_report(1.5, 'e1', complete)
    assert first is not None
    assert again is not None
    # Only one token was there at first.
    assert [loan.total for loan in first.loans] == [1]
    assert [loan.total for loan in again.loans] == [1]
    assert lender.list_statuses(2)[0].outstanding == 1


def test_standing_credits_are_taken_from_the_bucket() -> None:
    """Guards against operations of standing credits that no cap counts."""
    lender = _lender()
    ready = _Entry(lender, 'e1')
    ready.report(1, waiting=0, standing=3)
    held = ready.holder.count_free(1, _NAME)
    assert held == 3
    others = [_Entry(lender, f'o{index}') for index in range(9)]
    for other in others:
        other.report(1, waiting=2)
    assert sum(other.spend_all(1) for other in others) == 10 - held


def test_scarce_credits_are_shared() -> None:
    """Guards against an entry with many operations that takes all credits of another one."""
    lender = _lender()
    greedy, modest = _Entry(lender, 'greedy'), _Entry(lender, 'modest')
    served = {greedy: 0, modest: 0}
    for step in range(1, 1000):
        now = step * 0.01
        for entry, waiting in ((greedy, 50), (modest, 1)):
            entry.report(now, waiting)
            served[entry] += entry.spend_all(now)
    assert served[modest] >= 0.3 * sum(served.values())
    assert sum(served.values()) == pytest.approx(100, abs=12)


def test_lender_tells_when_the_cap_has_room() -> None:
    """Guards against operations beyond the cap that wait, and callers that return too early."""
    lender = _lender(Cap(0.5, 1))
    entry = _Entry(lender)
    entry.report(2, waiting=1)
    assert entry.spend_all(2) == 1
    answer = entry.report(2.1, waiting=1)
    assert answer.loans[0].room_in_s == pytest.approx(1.9, abs=0.01)
    other = _Entry(lender, 'e2').report(2.2, waiting=1)
    assert other.loans[0].room_in_s == pytest.approx(3.8, abs=0.01)


def test_cap_of_nothing_admits_nothing() -> None:
    """Guards against slack that admits operations of a workspace with a rate of 0."""
    entry = _Entry(_lender(Cap(0, 0)))
    entry.report(10, waiting=1, standing=1)
    assert entry.spend_all(10) == 0
