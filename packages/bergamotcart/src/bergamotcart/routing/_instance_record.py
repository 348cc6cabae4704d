"""Answers and failures of one instance, with its weight."""

from typing import Final

# Callers beyond the second one make no difference.
_MAX_FAILING_CALLERS: Final = 2
# A decayed count below this value has no influence any more.
_NEGLIGIBLE: Final = 0.05


class AnswerTimes:
    """Decayed number of answers of one kind, and the sum of their times in seconds."""

    __slots__ = ('count', 'total_s')

    def __init__(self) -> None:
        """Start without answers."""
        self.count = 0.0
        self.total_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean answer time in seconds; there must be an answer."""
        return self.total_s / self.count


class InstanceRecord:
    """State of one instance.

    :ivar answers: answer times by kind of statement.
    :ivar failures: decayed number of failures.
    :ivar weight: from 0 (ejected) to 1.
    :ivar ejections: ejections since its weight was 1.
    :ivar ejected_until: time in seconds at which the ejection ends.
    :ivar streak: evaluations in which it has deviated.
    :ivar is_updated: whether it has answered or failed since the last evaluation.
    """

    __slots__ = (
        '_failing_callers',
        '_turns',
        'answers',
        'ejected_until',
        'ejections',
        'failures',
        'is_updated',
        'streak',
        'weight',
    )

    def __init__(self) -> None:
        """Start with the whole weight."""
        self.answers: dict[str, AnswerTimes] = {}
        self.failures = 0.0
        self.weight = 1.0
        self.ejections = 0
        self.ejected_until = float('-inf')
        self.streak = 0
        self.is_updated = False
        self._failing_callers: set[str] = set()
        self._turns = 0.0

    @property
    def answer_count(self) -> float:
        """Decayed number of answers of all kinds."""
        return sum(each.count for each in self.answers.values())

    @property
    def failure_share(self) -> float:
        """Failures relative to all statements."""
        return self.failures / max(self.answer_count + self.failures, 1)

    @property
    def failing_caller_count(self) -> int:
        """Number of callers whose statements have failed lately, 2 at most."""
        return len(self._failing_callers)

    @property
    def is_unused(self) -> bool:
        """Whether the record is that of any instance without statements."""
        return self.weight == 1 and not self.answers and not self.failures

    def record_answer(self, kind: str, answer_s: float) -> None:
        """Count an answer."""
        times = self.answers.setdefault(kind, AnswerTimes())
        times.count += 1
        times.total_s += answer_s
        self.is_updated = True

    def record_failure(self, caller: str) -> None:
        """Count a failure."""
        self.failures += 1
        if len(self._failing_callers) < _MAX_FAILING_CALLERS:
            self._failing_callers.add(caller)
        self.is_updated = True

    def decay(self, remaining_part: float) -> None:
        """Reduce the influence of what was recorded before."""
        for kind, times in list(self.answers.items()):
            times.count *= remaining_part
            times.total_s *= remaining_part
            if times.count < _NEGLIGIBLE:
                self.answers.pop(kind)
        self.failures *= remaining_part
        if self.failures < _NEGLIGIBLE:
            self.failures = 0.0
            self._failing_callers.clear()

    def take_turn(self) -> bool:
        """Tell whether the instance gets the next read that its load would give it."""
        if self.weight >= 1:
            return True
        self._turns += self.weight
        if self._turns < 1:
            return False
        self._turns -= 1
        return True

    def eject(self, until: float) -> None:
        """Eject the instance until a time in seconds."""
        self.weight = 0.0
        self.ejected_until = until
        self.ejections += 1

    def readmit(self, weight: float, streak: int) -> None:
        """End the ejection and judge the instance by what it serves from now on.

        :param streak: evaluations in which it counts as having deviated.
        """
        self.weight = weight
        self.streak = streak
        self.answers.clear()
        self.failures = 0.0
        self._failing_callers.clear()

    def raise_weight(self, weight: float) -> None:
        """Set a weight that is not lower than before, after an evaluation without a deviation."""
        self.weight = weight
        if weight >= 1:
            self.ejections = 0
            self.streak = 0
