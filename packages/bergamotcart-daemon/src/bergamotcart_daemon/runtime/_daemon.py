"""What the processes of both roles have in common."""

import abc
import asyncio
import logging
import time
from collections.abc import Callable

from mode import Service

_logger = logging.getLogger(__name__)
_PROCESS_START = time.clock_gettime(time.CLOCK_BOOTTIME) - time.process_time()


class Daemon(Service):
    """A process that runs until it is asked to stop and has finished its work."""

    def __init__(self) -> None:
        """Start in the running state."""
        super().__init__()
        self._finished = asyncio.Event()
        self._reloads: list[Callable[[], None]] = []
        self._stop_requested = False

    @property
    def stop_requested(self) -> bool:
        """True once a signal asked the process to stop."""
        return self._stop_requested

    def request_stop(self) -> None:
        """Begin a graceful shutdown; further requests change nothing."""
        if self._stop_requested:
            _logger.info('shutdown is already under way')
            return
        self._stop_requested = True
        _logger.info('shutdown requested')
        self.begin_shutdown()

    def on_reload(self, read_again: Callable[[], None]) -> None:
        """Call a function whenever a signal says that the settings have changed."""
        self._reloads.append(read_again)

    def request_reload(self) -> None:
        """Read again what may change while the process runs."""
        _logger.info('settings may have changed; readers: %d', len(self._reloads))
        for read_again in self._reloads:
            read_again()

    @abc.abstractmethod
    def begin_shutdown(self) -> None:
        """Finish the work that is under way, then call ``finish``."""

    def finish(self) -> None:
        """Let the process exit."""
        self._finished.set()

    async def wait_finished(self) -> None:
        """Wait until the process may exit or a service has crashed."""
        await self.wait_first(self._finished.wait())


def read_clock() -> float:
    """Return the clock of the engine, in seconds: it also counts while the VM is suspended.

    A lease or an age counted on a clock that stands still meanwhile would outlive the sleep.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_process_start() -> float:
    """Return a time on the engine's clock at which this process had just started.

    The modules of a process load before its daemon is built, which takes a good part of a
    second on a small VM.
    """
    return _PROCESS_START


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the clock of the engine."""

    def time(self) -> float:
        """Return the clock of the engine, in seconds."""
        return read_clock()
