"""Counters, histograms and gauges in the Prometheus format."""

import collections
from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from bergamotcart.actions import Decision

# Upper bounds of the buckets; the proxy should add at most 2 ms to the latency of a statement.
_LATENCY_BOUNDS_S: Final = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
    float('inf'),
)


class RenderedMetrics(msgspec.Struct, frozen=True):
    """Body and headers of the response to ``GET /metrics``."""

    body: bytes
    headers: dict[str, str]


class Metrics:
    """All metrics of one process.

    Decisions and events are counted in plain dictionaries and copied to the collectors when
    they are rendered, since a labelled increment of a collector takes longer than a decision.
    """

    __slots__ = (
        '_decision_counter',
        '_decisions',
        '_event_counter',
        '_events',
        '_gauge',
        '_latency',
        '_read_gauges',
        '_registry',
        '_sent_bytes',
        '_sent_bytes_counter',
        '_sent_messages',
        '_sent_messages_counter',
    )

    def __init__(self, read_gauges: Callable[[], Mapping[str, float]]) -> None:
        """Create empty collectors.

        :param read_gauges: returns the current value of each gauge by name.
        """
        self._registry = Registry()
        self._read_gauges = read_gauges
        self._decisions: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._events: collections.Counter[str] = collections.Counter()
        self._sent_messages: collections.Counter[str] = collections.Counter()
        self._sent_bytes: collections.Counter[str] = collections.Counter()
        self._decision_counter = Counter(
            'bergamotcart_decisions',
            'Decisions by system, action and reason.',
            registry=self._registry,
        )
        self._event_counter = Counter(
            'bergamotcart_events',
            'Events in the adapters, such as dropped messages.',
            registry=self._registry,
        )
        self._sent_messages_counter = Counter(
            'bergamotcart_sent_messages',
            'Messages sent to other processes, by kind.',
            registry=self._registry,
        )
        self._sent_bytes_counter = Counter(
            'bergamotcart_sent_bytes',
            'Bytes of these messages, compressed, by kind.',
            registry=self._registry,
        )
        self._gauge = Gauge(
            'bergamotcart_status',
            'Figures of the engine and the process.',
            registry=self._registry,
        )
        self._latency = Histogram(
            'bergamotcart_statement_seconds',
            'Time from the arrival of a statement to its answer.',
            registry=self._registry,
            buckets=_LATENCY_BOUNDS_S,
        )

    def count_decision(self, decision: Decision) -> None:
        """Count a decision under its system, action and reason."""
        self._decisions[(decision.system, decision.action, decision.reason)] += 1

    def count_event(self, name: str) -> None:
        """Count an event of an adapter.

        :param name: kind of the event, such as ``message_dropped``.
        """
        self._events[name] += 1

    def count_sent_message(self, kind: str, size_bytes: int) -> None:
        """Count a message to another process.

        :param kind: name of the message.
        :param size_bytes: size of the message as it is sent.
        """
        self._sent_messages[kind] += 1
        self._sent_bytes[kind] += size_bytes

    def observe_statement(self, seconds: float) -> None:
        """Add the latency of a statement to the histogram."""
        self._latency.add({}, seconds)

    def render(self, accept: str) -> RenderedMetrics:
        """Render all metrics.

        :param accept: value of the ``Accept`` header of the request.
        """
        for (system, action, reason), count in self._decisions.items():
            labels = {'system': system, 'action': action, 'reason': reason}
            self._decision_counter.set(labels, count)
        for event, event_count in self._events.items():
            self._event_counter.set({'event': event}, event_count)
        self._copy_sent_messages()
        for figure, current in self._read_gauges().items():
            self._gauge.set({'figure': figure}, current)
        body, headers = render(self._registry, [accept])
        return RenderedMetrics(body, headers)

    def _copy_sent_messages(self) -> None:
        for kind, message_count in self._sent_messages.items():
            self._sent_messages_counter.set({'message': kind}, message_count)
            self._sent_bytes_counter.set({'message': kind}, self._sent_bytes[kind])
