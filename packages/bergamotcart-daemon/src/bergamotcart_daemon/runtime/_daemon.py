"""What the processes of both roles have in common."""

import abc
import asyncio
import logging
import time

from mode import Service

_logger = logging.getLogger(__name__)


class Daemon(Service):
    """A process that runs until it is asked to stop and has finished its work."""

    def __init__(self) -> None:
        """Start in the running state."""
        super().__init__()
        self._finished = asyncio.Event()
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


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the clock of the engine."""

    def time(self) -> float:
        """Return the clock of the engine, in seconds."""
        return read_clock()
