"""Base class of the processes of both roles, and their clock."""

import abc
import asyncio
import logging
import time
from collections.abc import Callable

from mode import Service

_logger = logging.getLogger(__name__)
_PROCESS_START_S = time.clock_gettime(time.CLOCK_BOOTTIME) - time.process_time()


class Daemon(Service):
    """A process that runs until its graceful shutdown is complete or a service crashes."""

    def __init__(self) -> None:
        """Create a daemon that has not been asked to stop."""
        super().__init__()
        self._finished = asyncio.Event()
        self._reload_handlers: list[Callable[[], None]] = []
        self._stop_requested = False

    @property
    def stop_requested(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._stop_requested

    def request_stop(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        if self._stop_requested:
            _logger.info('ignoring shutdown request: a shutdown is already in progress')
            return
        self._stop_requested = True
        _logger.info('shutdown requested; starting a graceful shutdown')
        self.begin_shutdown()

    def add_reload_handler(self, handler: Callable[[], None]) -> None:
        """Register a function to be called when a signal requests a reload of the settings.

        :param handler: reads the settings again.
        """
        self._reload_handlers.append(handler)

    def request_reload(self) -> None:
        """Reload the settings that may change while the process runs."""
        _logger.info(
            'reload of settings requested; reload handlers: %d', len(self._reload_handlers)
        )
        for handler in self._reload_handlers:
            handler()

    @abc.abstractmethod
    def begin_shutdown(self) -> None:
        """Start to end the running requests and duties; then ``complete_shutdown`` is called."""

    def complete_shutdown(self) -> None:
        """Allow the process to exit, once its graceful shutdown is complete."""
        self._finished.set()

    async def wait_finished(self) -> None:
        """Wait until the process may exit or a service has crashed."""
        await self.wait_first(self._finished.wait())


def read_clock() -> float:
    """Return the time of the engine, in seconds, which includes time while the VM is suspended.

    On a clock that stops during a suspension, a lease would still count as valid afterwards,
    and an age would be too small.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_process_start() -> float:
    """Return a time of the engine, in seconds, shortly after the start of this process.

    Before the daemon is built, the modules of the process are loaded, which takes a large part
    of a second on a small VM.
    """
    return _PROCESS_START_S


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the clock of the engine."""

    def time(self) -> float:
        """Return the time of the engine, in seconds."""
        return read_clock()
