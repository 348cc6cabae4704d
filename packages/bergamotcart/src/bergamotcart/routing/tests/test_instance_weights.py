"""Replays of uneven instances, and a model test of the exclusion of instances."""

import random
from collections import Counter

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotcart.discovery import TargetKey
from bergamotcart.routing import InstanceCandidate, InstanceWeights, WeightSettings, choose_instance

_KEYS = tuple(TargetKey('ledger', name) for name in 'abc')
_ANSWER_S = 0.02
_READS_PER_S = 30


def _candidate(key: TargetKey, **changed: object) -> InstanceCandidate:
    fields = {'own_zone': True, 'is_primary': False, 'has_floor': True, 'has_failed': False}
    return InstanceCandidate(key=key, **(fields | {'load': 0.0} | changed))


class _Replay:
    """Reads of two callers that the load spreads evenly over the instances.

    :ivar slowness: factor of the answer time, by instance.
    :ivar failing: share of the statements that fail, by instance.
    :ivar served: reads sent to each instance in the last run.
    :ivar steps: weights of instance ``a`` after each change.
    """

    def __init__(self) -> None:
        self.weights = InstanceWeights()
        self.slowness = dict.fromkeys(_KEYS, 1.0)
        self.failing = dict.fromkeys(_KEYS, 0.0)
        self.callers = ('one', 'two')
        self.served: Counter[TargetKey] = Counter()
        self.steps: list[float] = []
        self._now = 0.0
        self._random = random.Random(1)

    def run(self, seconds: float) -> None:
        self.served.clear()
        for _ in range(round(seconds * _READS_PER_S)):
            self._now += 1 / _READS_PER_S
            for change in self.weights.evaluate(self._now, _KEYS):
                if change.key == _KEYS[0]:
                    self.steps.append(change.after)
            candidates = [_candidate(key, rank=self._random.random()) for key in _KEYS]
            self._serve(self.weights.choose(candidates, choose_instance).key)

    def _serve(self, key: TargetKey) -> None:
        self.served[key] += 1
        if self._random.random() < self.failing[key]:
            self.weights.record_failure(key, self._random.choice(self.callers))
        else:
            answer_s = _ANSWER_S * self.slowness[key] * self._random.uniform(0.5, 1.5)
            self.weights.record_answer(key, 'reads', answer_s)


def _run(seconds: float, slowness: str = '111', failing: str = '000') -> _Replay:
    """Run with a factor and a number of failures in 10 statements for each instance."""
    replay = _Replay()
    for key, factor, failures in zip(_KEYS, slowness, failing, strict=True):
        replay.slowness[key] = int(factor)
        replay.failing[key] = int(failures) / 10
    replay.run(seconds)
    return replay


def test_slow_instance_gets_fewer_reads():
    """An instance that is four times slower would make a third of the reads late."""
    replay = _run(30, slowness='411')
    assert replay.weights.weight(_KEYS[0]) == pytest.approx(0.25, abs=0.1)
    replay.run(20)
    assert 0 < replay.served[_KEYS[0]] < 0.15 * replay.served.total()
    assert min(replay.steps) > 0


def test_failing_instance_is_ejected():
    """An instance that fails a fifth of its statements answers probes, so it counts as reachable."""
    replay = _run(30, failing='200')
    assert 0 in replay.steps
    replay.run(60)
    assert replay.served[_KEYS[0]] < 0.1 * replay.served.total()
    assert replay.weights.weight(_KEYS[1]) == replay.weights.weight(_KEYS[2]) == 1


@pytest.mark.parametrize('bad', [{}, {'slowness': '444'}, {'failing': '222'}])
def test_even_instances_are_served_as_without_weights(bad: dict[str, str]):
    """Load or an outage that concerns all of them must not take any of them away."""
    replay = _run(60, **bad)
    assert not replay.steps
    assert min(replay.served.values()) > 0.3 * replay.served.total()


def test_failures_of_one_caller_eject_no_instance():
    """A caller whose own statements fail must not take an instance from the others."""
    replay = _Replay()
    replay.callers = ('one',)
    replay.failing[_KEYS[0]] = 0.5
    replay.run(30)
    assert not replay.steps


def test_recovered_instance_is_taken_back_in_small_steps():
    """All reads at once would overload an instance whose caches are cold."""
    replay = _run(8, failing='500')
    assert replay.weights.weight(_KEYS[0]) == 0
    replay.failing[_KEYS[0]] = 0
    replay.steps.clear()
    replay.run(20)
    assert replay.steps == pytest.approx([each / 10 for each in range(1, 11)])


class _Exclusion(RuleBasedStateMachine):
    """Any answers and failures, with instances that stop and start to serve."""

    def __init__(self) -> None:
        super().__init__()
        # Fewer confirmations, so that ejections occur in short runs.
        self.weights = InstanceWeights(WeightSettings(confirmations=1))
        self.now = 0.0
        self.serving = frozenset(_KEYS)

    @rule(key=strategies.sampled_from(_KEYS), answer_s=strategies.sampled_from([_ANSWER_S, 2]))
    def answer(self, key: TargetKey, answer_s: float) -> None:
        for _ in range(20):
            self.weights.record_answer(key, 'reads', answer_s)

    @rule(key=strategies.sampled_from(_KEYS))
    def fail(self, key: TargetKey) -> None:
        for number in range(20):
            self.weights.record_failure(key, str(number))

    @rule(names=strategies.sampled_from(['a', 'b', 'c', 'ab', 'bc', 'abc']))
    def change_serving(self, names: str) -> None:
        self.serving = frozenset(key for key in _KEYS if key.instance in names)

    @rule(seconds=strategies.sampled_from([1, 3, 30]))
    def evaluate(self, seconds: float) -> None:
        self.now += seconds
        for change in self.weights.evaluate(self.now, self.serving):
            others = self.serving - {change.key}
            assert change.after > 0 or any(self.weights.weight(each) > 0 for each in others)

    @invariant()
    def serving_instance_is_chosen(self) -> None:
        """The last serving instance must serve, however slow it is or often it fails."""
        candidates = [_candidate(key, has_failed=key not in self.serving) for key in _KEYS]
        for usable in (candidates, [each for each in candidates if not each.has_failed]):
            chosen = self.weights.choose(usable, choose_instance).key
            assert chosen in self.serving
            has_weight = any(self.weights.weight(key) > 0 for key in self.serving)
            assert self.weights.weight(chosen) > 0 or not has_weight

    @invariant()
    def few_are_ejected(self) -> None:
        assert sum(self.weights.weight(key) == 0 for key in _KEYS) <= 1


TestExclusion = _Exclusion.TestCase
TestExclusion.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
