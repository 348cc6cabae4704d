"""Weights of the instances of one group, by what they really serve.

docs/design/uneven-instances.md tells why. Without I/O, clock or random numbers of its own.
"""

import enum
import statistics
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

import msgspec

from bergamotcart.discovery import TargetKey
from bergamotcart.routing._instance_record import InstanceRecord
from bergamotcart.routing._read_routing import InstanceCandidate

_EVEN: Final = 1.0
_DIGITS: Final = 3


class WeightSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the weights.

    :param interval_s: least time between two evaluations, in seconds.
    :param half_life_s: time in which an answer or a failure loses half of its influence, in seconds.
    :param min_answers: decayed number of answers that are needed to judge an instance. With 8, even
        instances with exponential answer times of 50 ms or more deviated now and then.
    :param confirmations: evaluations with new answers or failures in which an instance must deviate
        before its weight falls. One that is restarted deviates for a second or two.
    :param slow_ratio: answer time, relative to the other instances, above which one is slow.
    :param slack_s: time by which an answer must exceed that as well, in seconds. The round trips to
        two zones of different regions differ by less.
    :param min_failures: failures that are needed to call an instance failing.
    :param min_failing_callers: number of callers that must be affected. A single one may cause
        failures by its own statements.
    :param failing_share: failures relative to all statements above which an instance is failing.
    :param failing_ratio: the same relative to the share of the other instances.
    :param min_weight: least weight of an instance that is not ejected.
    :param min_change: distance from the weight that would fit up to which a weight is kept.
    :param step_down: largest fall of a weight in one evaluation.
    :param step_up: rise of a weight in one evaluation.
    :param ejection_s: time of the first ejection, in seconds; each further one lasts twice as long.
    :param max_ejection_s: longest ejection, in seconds.
    :param max_ejected_share: part of the serving instances that may be ejected, but one if there are
        two or more.
    """

    interval_s: float = 1.0
    half_life_s: float = 10.0
    min_answers: float = 16.0
    confirmations: int = 3
    slow_ratio: float = 2.0
    slack_s: float = 0.03
    min_failures: float = 3.0
    min_failing_callers: int = 2
    failing_share: float = 0.1
    failing_ratio: float = 3.0
    min_weight: float = 0.1
    min_change: float = 0.05
    step_down: float = 0.25
    step_up: float = 0.1
    ejection_s: float = 5.0
    max_ejection_s: float = 40.0
    max_ejected_share: float = 1 / 3


@enum.unique
class WeightReason(enum.StrEnum):
    """Why a weight has changed."""

    slow = 'slow'
    failing = 'failing'
    recovering = 'recovering'


class WeightChange(msgspec.Struct, frozen=True):
    """Change of the weight of one instance; 0 stands for an ejection."""

    key: TargetKey
    before: float
    after: float
    reason: WeightReason


class InstanceWeights:
    """Part of the reads that each instance of a group gets of those that its load would give it.

    An instance is compared with the others of its group, so none deviates while all are slow or fail.
    """

    __slots__ = ('_evaluated_at', '_records', '_settings')

    def __init__(self, settings: WeightSettings | None = None) -> None:
        """Start with even instances."""
        self._settings = settings or WeightSettings()
        self._records: dict[TargetKey, InstanceRecord] = {}
        self._evaluated_at = float('-inf')

    def weight(self, key: TargetKey) -> float:
        """Return the weight of an instance, from 0 (ejected) to 1."""
        record = self._records.get(key)
        return _EVEN if record is None else record.weight

    def record_answer(self, key: TargetKey, kind: str, answer_s: float) -> None:
        """Record an answer.

        :param kind: kind of the statement, such as its route; only answers of one kind are compared.
        :param answer_s: time from the sending of the statement to its answer, in seconds.
        """
        self._get(key).record_answer(kind, answer_s)

    def record_failure(self, key: TargetKey, caller: str) -> None:
        """Record that an instance failed to answer a statement, or failed while it ran it."""
        self._get(key).record_failure(caller)

    def evaluate(self, now: float, serving: Collection[TargetKey]) -> list[WeightChange]:
        """Adapt the weights if an evaluation is due.

        :param now: current time in seconds.
        :param serving: instances that could serve a read now.
        """
        elapsed_s = now - self._evaluated_at
        if elapsed_s < self._settings.interval_s:
            return []
        self._evaluated_at = now
        remaining_part = 0.5 ** (elapsed_s / self._settings.half_life_s)
        for record in self._records.values():
            record.decay(remaining_part)
        used = (item for item in self._records.items() if not item[1].is_unused)
        self._records = dict(used)
        # The worst ones first, since only some may be ejected.
        worst_first = sorted((self._target_weight(key)[0], key) for key in self._records)
        changes = [self._evaluate_instance(now, key, serving) for _, key in worst_first]
        return [change for change in changes if change is not None]

    def choose(
        self,
        candidates: Sequence[InstanceCandidate],
        choose: Callable[[Sequence[InstanceCandidate]], InstanceCandidate | None],
    ) -> InstanceCandidate | None:
        """Choose the instance for a read.

        An instance with a low weight is passed over, unless it is its turn or only instances that
        have failed the read are left.

        :param candidates: instances that accept new statements.
        :param choose: chooses one of them by load.
        :returns: the chosen instance, or ``None`` if there is no candidate.
        """
        remaining = list(candidates)
        passed_over: list[InstanceCandidate] = []
        chosen = choose(remaining)
        while chosen is not None and not chosen.has_failed:
            record = self._records.get(chosen.key)
            if record is None or record.take_turn():
                return chosen
            passed_over.append(chosen)
            remaining.remove(chosen)
            chosen = choose(remaining)
        return max(passed_over, key=lambda each: self.weight(each.key), default=chosen)

    def _evaluate_instance(
        self, now: float, key: TargetKey, serving: Collection[TargetKey]
    ) -> WeightChange | None:
        record = self._records[key]
        before = record.weight
        reason = WeightReason.recovering
        if before > 0:
            reason = self._adapt(now, key, serving)
        elif now >= record.ejected_until:
            record.readmit(self._settings.min_weight, self._settings.confirmations - 1)
        record.is_updated = False
        if record.weight == before:
            return None
        return WeightChange(key, before, record.weight, reason)

    def _adapt(self, now: float, key: TargetKey, serving: Collection[TargetKey]) -> WeightReason:
        """Move the weight of an instance that is not ejected towards the one that fits."""
        record, settings = self._records[key], self._settings
        target, reason = self._target_weight(key)
        if target < _EVEN and abs(target - record.weight) < settings.min_change:
            return reason
        if target >= record.weight:
            # Rounded, since ten steps of a tenth are not quite 1 otherwise.
            raised = round(record.weight + settings.step_up, _DIGITS)
            record.raise_weight(min(target, raised))
            return WeightReason.recovering
        if record.is_updated:
            record.streak += 1
            if record.streak >= settings.confirmations:
                self._lower(now, key, target, serving)
        return reason

    def _lower(
        self, now: float, key: TargetKey, target: float, serving: Collection[TargetKey]
    ) -> None:
        record, settings = self._records[key], self._settings
        if target < settings.min_weight and self._may_eject(key, serving):
            ejection_s = settings.ejection_s * 2.0 ** min(record.ejections, 64)
            record.eject(now + min(ejection_s, settings.max_ejection_s))
            return
        record.weight = max(target, record.weight - settings.step_down, settings.min_weight)

    def _may_eject(self, key: TargetKey, serving: Collection[TargetKey]) -> bool:
        """Tell whether another instance still serves, and few enough are ejected."""
        if not any(self.weight(other) > 0 for other in serving if other != key):
            return False
        ejected = sum(1 for record in self._records.values() if record.weight == 0)
        return ejected < max(1, int(len(serving) * self._settings.max_ejected_share))

    def _target_weight(self, key: TargetKey) -> tuple[float, WeightReason]:
        """Return the weight that the answers and failures of an instance call for."""
        if self._is_failing(key):
            return 0.0, WeightReason.failing
        return self._relative_speed(key), WeightReason.slow

    def _is_failing(self, key: TargetKey) -> bool:
        record, settings = self._records[key], self._settings
        is_single_caller = record.failing_caller_count < settings.min_failing_callers
        if is_single_caller or record.failures < settings.min_failures:
            return False
        if not self._is_known(record):
            return False
        # The own zone may get all reads. Others that are not known are supposed to fail less, which
        # the reads that they get during an ejection show.
        known = filter(self._is_known, self._list_others(key))
        others = [other.failure_share for other in known]
        usual_share = statistics.median_low(others or [0.0]) * settings.failing_ratio
        return record.failure_share >= max(usual_share, settings.failing_share)

    def _relative_speed(self, key: TargetKey) -> float:
        """Return the answer time of the other instances relative to this one, or 1 if it is usual."""
        settings = self._settings
        count, own_s, usual_s = 0.0, 0.0, 0.0
        for kind, answers in self._records[key].answers.items():
            others = self._list_usual_times(key, kind)
            if others:
                count += answers.count
                own_s += answers.total_s
                usual_s += answers.count * statistics.median(others)
        if count < settings.min_answers:
            return _EVEN
        is_slow = own_s > usual_s * settings.slow_ratio + settings.slack_s * count
        return usual_s / own_s if is_slow else _EVEN

    def _list_usual_times(self, key: TargetKey, kind: str) -> list[float]:
        """Return the mean answer times of the other instances for one kind, in seconds."""
        least = self._settings.min_answers / 2
        times = [other.answers.get(kind) for other in self._list_others(key)]
        return [each.mean_s for each in times if each is not None and each.count >= least]

    def _list_others(self, key: TargetKey) -> Iterable[InstanceRecord]:
        return [record for other, record in self._records.items() if other != key]

    def _is_known(self, record: InstanceRecord) -> bool:
        return record.answer_count + record.failures >= self._settings.min_answers

    def _get(self, key: TargetKey) -> InstanceRecord:
        return self._records.setdefault(key, InstanceRecord())
