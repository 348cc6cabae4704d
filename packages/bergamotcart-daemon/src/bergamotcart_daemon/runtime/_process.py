"""Runs a daemon until a signal ends it."""

import asyncio
import logging
import signal
from collections.abc import Callable

from pynng import NNGException

from bergamotcart_daemon.runtime._daemon import BoottimeEventLoop, Daemon
from bergamotcart_daemon.storage import StorageError

_logger = logging.getLogger(__name__)
_FAILED = 1


def run_daemon(build: Callable[[], Daemon]) -> int:
    """Run a process.

    :param build: builds the daemon of the role; called in the event loop.
    :returns: exit status: 0 after a graceful shutdown, 1 after a fault.
    """
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_run(build))


async def _run(build: Callable[[], Daemon]) -> int:
    try:
        daemon = build()
    except Exception as error:
        return _report_failure(error)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.request_reload)
    try:
        await daemon.start()
    except Exception as error:
        await daemon.stop()
        return _report_failure(error)
    _logger.info('started')
    await daemon.wait_finished()
    reason = daemon.crash_reason
    await daemon.stop()
    if reason is not None:
        _logger.critical('a service crashed', exc_info=reason)
        return _FAILED
    _logger.info('stopped')
    return 0


def _report_failure(error: Exception) -> int:
    # These come from the surroundings, such as a port in use or an unreadable data folder.
    is_expected = isinstance(error, (OSError, StorageError, NNGException))
    _logger.error('start failed: %s', error, exc_info=None if is_expected else error)
    return _FAILED
