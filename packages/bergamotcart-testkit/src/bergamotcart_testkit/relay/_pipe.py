"""One direction of a relayed connection."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bergamotcart_testkit.relay._settings import Drop, LinkSettings

_QUEUE_LIMIT_BYTES: Final = 262_144


@dataclass(frozen=True, slots=True)
class _Chunk:
    due: float
    content: bytes


class Pipe:
    """Queue that delivers bytes in order after the delay of the link.

    :ivar has_dropped_bytes: whether any bytes were dropped.
    :ivar silent: whether all bytes and the end of the stream are discarded.
    :ivar accepted_bytes: number of bytes that were accepted.
    """

    def __init__(
        self,
        direction: Drop,
        settings: Callable[[], LinkSettings],
        generator: random.Random,
    ) -> None:
        """Create an empty pipe without a sink.

        :param settings: returns the current settings.
        """
        self.has_dropped_bytes = False
        self.silent = False
        self.accepted_bytes = 0
        self._direction = direction
        self._settings = settings
        self._jitter_generator = generator
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[_Chunk] = deque()
        self._queued_bytes = 0
        self._last_due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._source: asyncio.Transport | None = None
        self._sink: asyncio.Transport | None = None

    def connect_source(self, source: asyncio.Transport) -> None:
        """Set the transport to read from."""
        self._source = source

    def connect_sink(self, sink: asyncio.Transport) -> None:
        """Set the transport to write to, and deliver the queued chunks that are due."""
        self._sink = sink
        self.deliver_due()

    def enqueue(self, content: bytes) -> None:
        """Queue bytes from the source; empty bytes mean that the source has closed."""
        if self.silent:
            return
        settings = self._settings()
        if settings.drops(self._direction):
            self.has_dropped_bytes = True
            return
        self.accepted_bytes += len(content)
        self._queued_bytes += len(content)
        self._chunks.append(_Chunk(self._due_time(settings, len(content)), content))
        if self._queued_bytes > _QUEUE_LIMIT_BYTES and self._source:
            self._source.pause_reading()
        self.deliver_due()

    def deliver_due(self) -> None:
        """Deliver the chunks that are due, and schedule the next one."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._sink is None or self._settings().hold:
            return
        while self._chunks and self._chunks[0].due <= self._loop.time():
            self._deliver(self._chunks.popleft().content, self._sink)
        if self._chunks:
            self._timer = self._loop.call_at(self._chunks[0].due, self.deliver_due)

    def discard_queue(self) -> None:
        """Discard the queued chunks."""
        self._chunks.clear()
        if self._timer:
            self._timer.cancel()

    def _due_time(self, settings: LinkSettings, size: int) -> float:
        now = self._loop.time()
        latency = settings.delay + settings.jitter * self._jitter_generator.random()
        start = max(now, self._last_due - latency)
        transfer = size / settings.bytes_per_second if settings.bytes_per_second else 0.0
        # Keeps the bytes of a connection in order despite jitter.
        self._last_due = max(self._last_due, start + latency + transfer)
        return self._last_due

    def _deliver(self, content: bytes, sink: asyncio.Transport) -> None:
        self._queued_bytes -= len(content)
        if self.silent:
            return
        if self._settings().drops(self._direction):
            self.has_dropped_bytes = True
            return
        if sink.is_closing():
            return
        if content:
            sink.write(content)
        else:
            sink.close()
        if self._queued_bytes <= _QUEUE_LIMIT_BYTES and self._source:
            self._source.resume_reading()
