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
    """Passes bytes on after the delay of the link, in order.

    :ivar lost: true once bytes were dropped.
    :ivar silent: whether everything is swallowed, also the end of the stream.
    :ivar passed: number of bytes that were accepted.
    """

    def __init__(
        self,
        direction: Drop,
        settings: Callable[[], LinkSettings],
        generator: random.Random,
    ) -> None:
        """Start empty, without an end to write to.

        :param settings: returns the settings in force.
        """
        self.lost = False
        self.silent = False
        self.passed = 0
        self._direction = direction
        self._settings = settings
        self._generator = generator
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[_Chunk] = deque()
        self._queued = 0
        self._last_due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._source: asyncio.Transport | None = None
        self._sink: asyncio.Transport | None = None

    def connect_source(self, source: asyncio.Transport) -> None:
        """Set the end that is read from."""
        self._source = source

    def connect_sink(self, sink: asyncio.Transport) -> None:
        """Set the end that is written to, and pass on what waits."""
        self._sink = sink
        self.resume()

    def feed(self, content: bytes) -> None:
        """Take bytes of the source; empty means that it has closed."""
        if self.silent:
            return
        settings = self._settings()
        if settings.drops(self._direction):
            self.lost = True
            return
        self.passed += len(content)
        self._queued += len(content)
        self._chunks.append(_Chunk(self._due(settings, len(content)), content))
        if self._queued > _QUEUE_LIMIT_BYTES and self._source:
            self._source.pause_reading()
        self.resume()

    def resume(self) -> None:
        """Pass on what is due, and wait for the next chunk."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._sink is None or self._settings().hold:
            return
        while self._chunks and self._chunks[0].due <= self._loop.time():
            self._pass_on(self._chunks.popleft().content, self._sink)
        if self._chunks:
            self._timer = self._loop.call_at(self._chunks[0].due, self.resume)

    def stop(self) -> None:
        """Discard what waits."""
        self._chunks.clear()
        if self._timer:
            self._timer.cancel()

    def _due(self, settings: LinkSettings, size: int) -> float:
        now = self._loop.time()
        latency = settings.delay + settings.jitter * self._generator.random()
        start = max(now, self._last_due - latency)
        transfer = size / settings.bytes_per_second if settings.bytes_per_second else 0.0
        # Bytes of one connection never overtake each other.
        self._last_due = max(self._last_due, start + latency + transfer)
        return self._last_due

    def _pass_on(self, content: bytes, sink: asyncio.Transport) -> None:
        self._queued -= len(content)
        if self.silent:
            return
        if self._settings().drops(self._direction):
            self.lost = True
            return
        if sink.is_closing():
            return
        if content:
            sink.write(content)
        else:
            sink.close()
        if self._queued <= _QUEUE_LIMIT_BYTES and self._source:
            self._source.resume_reading()
