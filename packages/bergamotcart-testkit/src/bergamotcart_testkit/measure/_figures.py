"""Figures of a report with their targets, and latency statistics."""

import math

import msgspec
from hdrh.histogram import HdrHistogram

from bergamotcart_testkit.load import Journal

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_LATENCY_US = 60 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 3


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure.

    :param measured: the figure, or ``None`` if this run does not measure it.
    :param target: bound that the design page sets.
    :param at_least: whether the target is a lower bound.
    """

    name: str
    measured: float | None
    target: float
    unit: str
    at_least: bool = False
    note: str = ''

    @property
    def is_met(self) -> bool | None:
        """Whether the target is met, or ``None`` if the figure was not measured."""
        if self.measured is None:
            return None
        return self.measured >= self.target if self.at_least else self.measured <= self.target


class Latencies(msgspec.Struct, frozen=True, kw_only=True):
    """Percentiles of a latency, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LatencyHistogram:
    """Latency histogram with a fixed relative precision; latencies above 60 s count as 60 s."""

    __slots__ = ('_histogram',)

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Add one latency."""
        self._histogram.record_value(
            min(max(int(seconds * _MICROSECONDS_PER_SECOND), 1), _MAX_LATENCY_US)
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000

    def summary(self) -> Latencies:
        """Return the count, percentiles and maximum."""
        return Latencies(
            count=self._histogram.get_total_count(),
            p50_ms=self.percentile_ms(50),
            p90_ms=self.percentile_ms(90),
            p99_ms=self.percentile_ms(99),
            p999_ms=self.percentile_ms(99.9),
            max_ms=self.percentile_ms(100),
        )


def latencies_by_kind(journal: Journal) -> dict[str, Latencies]:
    """Return the latencies of answered requests for each kind of operation."""
    histograms: dict[str, LatencyHistogram] = {}
    for operation in journal.operations:
        if operation.answer.ran:
            histogram = histograms.setdefault(operation.kind.value, LatencyHistogram())
            histogram.add(operation.answer.ended - operation.answer.started)
    return {kind: histogram.summary() for kind, histogram in sorted(histograms.items())}


def percentile(samples: list[float], share: float) -> float | None:
    """Return the smallest sample that a given share of the samples does not exceed."""
    if not samples:
        return None
    ordered = sorted(samples)
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)]
