"""Guards against lending one connection twice."""

import random

import pytest

from bergamotcart.admission import Grant, TargetLender, divide_fairly

_FIRST = 'a'
_LEASE_S = 1.0
_MARGIN = 0.02


@pytest.mark.parametrize(
    ('pool', 'demands', 'shares'),
    [
        (8, (1, 9, 9), [1, 3, 4]),
        (8, (2, 3), [2, 3]),
        (0, (2,), [0]),
        (-3, (2,), [0]),
    ],
)
def test_a_pool_is_divided_by_demand(pool, demands, shares):
    """What one borrower does not need belongs to the others, in equal parts."""
    by_name = dict(zip('abc', demands, strict=False))
    assert list(divide_fairly(pool, by_name).values()) == shares


def test_nothing_is_lent_while_loans_of_a_former_leader_may_last():
    """A new leader does not know them."""
    lender = TargetLender(opens_at=5)
    assert lender.lend(4, _FIRST, Grant(1, 5), demand=2, pool=8) == 0
    assert lender.lend(5, _FIRST, Grant(2, 6), demand=2, pool=8) == 2


def test_a_returned_part_is_lent_at_once():
    """Waiting for the end of the lease is needed only without a sure return."""
    lender = TargetLender(opens_at=0)
    assert lender.lend(0, _FIRST, Grant(1, 10), demand=8, pool=8) == 8
    assert lender.lend(0, 'b', Grant(1, 10), demand=8, pool=8) == 0
    assert lender.lend(1, _FIRST, Grant(2, 11), demand=8, pool=8) == 4
    lender.note_applied(_FIRST, sent_at=1, in_use=2)
    assert lender.lend(1, 'b', Grant(2, 11), demand=8, pool=8) == 0
    lender.note_applied(_FIRST, sent_at=2, in_use=5)
    assert lender.lend(1, 'b', Grant(3, 11), demand=8, pool=8) == 3


class _Borrower:
    """An entry with a slow or fast clock, whose grants may be late, lost or reordered."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.rate = chance.uniform(1 - _MARGIN / 2, 1 + _MARGIN / 2)
        self.applied_sent_at = -1.0
        self.lent = 0
        self.grants: list[tuple[float, int]] = []

    def clock(self, now: float) -> float:
        """Its own clock."""
        return now * self.rate

    def in_use(self, now: float) -> int:
        """What it may use: nothing once the lease has ended."""
        ends_at = self.applied_sent_at + _LEASE_S * (1 - _MARGIN)
        return self.lent if self.clock(now) < ends_at else 0

    def receive(self) -> None:
        """Apply any grant on the way, unless a newer one is in force."""
        if self.grants:
            self.chance.shuffle(self.grants)
            sent_at, lent = self.grants.pop()
            if sent_at > self.applied_sent_at:
                self.applied_sent_at = sent_at
                self.lent = lent


@pytest.mark.parametrize('seed', range(20))
def test_no_schedule_lends_more_than_the_pool(seed):
    """Each connection beyond the target's limit is refused, whoever holds the others."""
    chance = random.Random(seed)
    lender = TargetLender(opens_at=0)
    borrowers = {name: _Borrower(chance) for name in 'abc'}
    now = 0.0
    for _ in range(1000):
        now += chance.choice((0.01, 0.1, 0.3))
        name = chance.choice('abc')
        borrower = borrowers[name]
        sent_at = borrower.clock(now)
        if chance.random() * 3 < 1:
            lender.note_applied(name, borrower.applied_sent_at, borrower.in_use(now))
        now += chance.choice((0, 0.2))
        grant = Grant(sent_at, now + _LEASE_S * (1 + _MARGIN))
        lent = lender.lend(now, name, grant, demand=chance.randrange(9), pool=8)
        borrower.grants.append((sent_at, lent))
        chance.choice(list(borrowers.values())).receive()
        assert sum(other.in_use(now) for other in borrowers.values()) <= 8
