"""Tests of the memory that connections may hold."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bergamotcart.resources import MemoryBudget

_CAPACITY = 1000
_MESSAGE = 200
_SHARES = st.sampled_from(('a', 'b', 'c'))
_PICK = st.integers(0, 1000)


class _BudgetMachine(RuleBasedStateMachine):
    """Connections that hold, reserve, wait and leave in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(_CAPACITY)
        self.held: dict[int, int] = {}
        self.reserved: set[int] = set()
        self.waiting: set[int] = set()
        self.shares: dict[int, str] = {}
        self.now = 0.0

    @initialize()
    def add_first(self) -> None:
        self.add('a')

    @rule(share=_SHARES)
    def add(self, share: str) -> None:
        key = len(self.shares)
        self.budget.add(key, share)
        self.shares[key] = share
        self.held[key] = 0

    @precondition(lambda machine: machine.held)
    @rule(pick=_PICK, size=st.integers(0, 400))
    def hold(self, pick: int, size: int) -> None:
        key = self._pick(pick)
        self.budget.set_held(key, size)
        self.held[key] = size
        self._close_excess()

    @precondition(lambda machine: machine.held)
    @rule(pick=_PICK)
    def reserve(self, pick: int) -> None:
        key = self._pick(pick)
        if key in self.reserved | self.waiting:
            return
        if self.budget.reserve(key, _MESSAGE, self.now):
            self.reserved.add(key)
        else:
            self.waiting.add(key)
        self._close_excess()

    @precondition(lambda machine: machine.held)
    @rule(pick=_PICK)
    def release(self, pick: int) -> None:
        key = self._pick(pick)
        self.budget.release(key)
        self.reserved.discard(key)
        self.waiting.discard(key)
        self._grant()

    @precondition(lambda machine: len(machine.held) > 1)
    @rule(pick=_PICK)
    def remove(self, pick: int) -> None:
        self._forget(self._pick(pick))
        self._grant()

    @invariant()
    def total_is_what_connections_hold(self) -> None:
        """A total that drifts would refuse all connections in the end, or none."""
        assert self.budget.total == sum(self.held.values()) + _MESSAGE * len(self.reserved)
        assert self.budget.total <= _CAPACITY

    @invariant()
    def someone_progresses(self) -> None:
        """Connections that all wait would wait forever."""
        assert not self.waiting or self.reserved

    def _pick(self, pick: int) -> int:
        return sorted(self.held)[pick % len(self.held)]

    def _forget(self, key: int) -> None:
        self.budget.remove(key)
        self.held.pop(key)
        self.reserved.discard(key)
        self.waiting.discard(key)

    def _grant(self) -> None:
        for key in self.budget.grant_waiting(self.now):
            self.waiting.remove(key)
            self.reserved.add(key)
        self._close_excess()

    def _close_excess(self) -> None:
        excess = self.budget.find_excess()
        while excess is not None:
            totals = dict.fromkeys(self.shares.values(), 0)
            for key, size in self.held.items():
                totals[self.shares[key]] += size + _MESSAGE * (key in self.reserved)
            assert totals[self.shares[excess]] == max(totals.values())
            self._forget(excess)
            excess = self.budget.find_excess()
        for key in self.budget.grant_waiting(self.now):
            self.waiting.remove(key)
            self.reserved.add(key)


TestBudget = _BudgetMachine.TestCase
TestBudget.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_slow_message_gives_way_only_while_others_wait():
    """A client with a slow link must not be closed while there is memory for all."""
    budget = MemoryBudget(_CAPACITY)
    for key in range(4):
        budget.add(key)
        assert budget.reserve(key, _MESSAGE, now=0.0) is (key < 3)
    budget.record_received(0, 10**6)
    budget.record_whole(1)
    assert budget.find_stalled(now=1.0) == []
    assert budget.find_stalled(now=10.0) == [2]
    budget.release(3)
    assert budget.find_stalled(now=10.0) == []


def test_waiting_share_that_has_reserved_least_comes_first():
    """A caller with many long messages must not keep those of the others out."""
    budget = MemoryBudget(_CAPACITY)
    for key, share in enumerate('aaaaab'):
        budget.add(key, share)
        budget.reserve(key, _MESSAGE, now=0.0)
    budget.release(0)
    assert budget.grant_waiting(now=0.0) == [5]


def test_without_capacity_nothing_waits():
    """A deployment whose settings name no limits is served as before."""
    budget = MemoryBudget(None)
    for key in range(100):
        budget.add(key)
        budget.set_held(key, 10**9)
        assert budget.reserve(key, 10**9, now=0.0)
    assert budget.find_excess() is None
    assert not budget.is_exhausted
