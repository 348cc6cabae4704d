"""Tests that no connection is lent twice."""

import random

import pytest

from bergamotcart.admission import Grant, TargetLender, divide_fairly

_FIRST_BORROWER = 'a'
_LEASE_S = 1.0
_CLOCK_MARGIN = 0.02


@pytest.mark.parametrize(
    ('pool', 'demands', 'shares'),
    [
        (8, (1, 9, 9), [1, 3, 4]),
        (8, (2, 3), [2, 3]),
        (0, (2,), [0]),
        (-3, (2,), [0]),
    ],
)
def test_pool_is_divided_by_demand(pool, demands, shares):
    """Connections that one borrower does not need are divided equally among the others."""
    by_name = dict(zip('abc', demands, strict=False))
    assert list(divide_fairly(pool, by_name).values()) == shares


def test_nothing_is_lent_before_lending_starts():
    """A new leader does not know the loans of its predecessor, which may still be in use."""
    lender = TargetLender(lending_starts_at=5)
    assert lender.lend(4, _FIRST_BORROWER, Grant(1, 5), demand=2, pool=8) == 0
    assert lender.lend(5, _FIRST_BORROWER, Grant(2, 6), demand=2, pool=8) == 2


def test_returned_connections_are_lent_at_once():
    """Connections known to be returned must not stay unused until the lease expires."""
    lender = TargetLender(lending_starts_at=0)
    assert lender.lend(0, _FIRST_BORROWER, Grant(1, 10), demand=8, pool=8) == 8
    assert lender.lend(0, 'b', Grant(1, 10), demand=8, pool=8) == 0
    assert lender.lend(1, _FIRST_BORROWER, Grant(2, 11), demand=8, pool=8) == 4
    lender.record_applied_grant(_FIRST_BORROWER, sent_at=1, in_use=2)
    assert lender.lend(1, 'b', Grant(2, 11), demand=8, pool=8) == 0
    lender.record_applied_grant(_FIRST_BORROWER, sent_at=2, in_use=5)
    assert lender.lend(1, 'b', Grant(3, 11), demand=8, pool=8) == 3


class _Borrower:
    """An entry with a slow or fast clock, whose grants may be delayed, lost or reordered."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.clock_rate = rng.uniform(1 - _CLOCK_MARGIN / 2, 1 + _CLOCK_MARGIN / 2)
        self.applied_sent_at = -1.0
        self.lent = 0
        self.grants: list[tuple[float, int]] = []

    def clock(self, now: float) -> float:
        """Return the time on the borrower's own clock."""
        return now * self.clock_rate

    def in_use(self, now: float) -> int:
        """Return the lent connections that it may use: none after its lease has expired."""
        ends_at = self.applied_sent_at + _LEASE_S * (1 - _CLOCK_MARGIN)
        return self.lent if self.clock(now) < ends_at else 0

    def receive(self) -> None:
        """Deliver a random grant in transit; it is ignored if a newer one is in force."""
        if self.grants:
            self.rng.shuffle(self.grants)
            sent_at, lent = self.grants.pop()
            if sent_at > self.applied_sent_at:
                self.applied_sent_at = sent_at
                self.lent = lent


@pytest.mark.parametrize('seed', range(20))
def test_connections_in_use_never_exceed_pool(seed):
    """The target refuses every connection beyond its limit, whichever entries hold the others."""
    rng = random.Random(seed)
    lender = TargetLender(lending_starts_at=0)
    borrowers = {name: _Borrower(rng) for name in 'abc'}
    now = 0.0
    for _ in range(1000):
        now += rng.choice((0.01, 0.1, 0.3))
        name = rng.choice('abc')
        borrower = borrowers[name]
        sent_at = borrower.clock(now)
        if rng.random() * 3 < 1:
            lender.record_applied_grant(name, borrower.applied_sent_at, borrower.in_use(now))
        now += rng.choice((0, 0.2))
        grant = Grant(sent_at, now + _LEASE_S * (1 + _CLOCK_MARGIN))
        lent = lender.lend(now, name, grant, demand=rng.randrange(9), pool=8)
        borrower.grants.append((sent_at, lent))
        rng.choice(list(borrowers.values())).receive()
        assert sum(other.in_use(now) for other in borrowers.values()) <= 8
