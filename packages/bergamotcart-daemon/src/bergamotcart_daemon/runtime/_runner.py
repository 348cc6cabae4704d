"""Runs a daemon until it has shut down or crashed."""

import asyncio
import logging
import signal
from collections.abc import Callable

from pynng import NNGException

from bergamotcart_daemon.runtime._daemon import BoottimeEventLoop, Daemon

_logger = logging.getLogger(__name__)
_EXIT_FAILURE = 1


def run_daemon(build: Callable[[], Daemon]) -> int:
    """Run a daemon until it has shut down or crashed.

    :param build: builds the daemon of the role; called inside the event loop.
    :returns: exit status: 0 after a graceful shutdown, 1 after a failed start or a crash.
    """
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_run_until_finished(build))


async def _run_until_finished(build: Callable[[], Daemon]) -> int:
    try:
        daemon = build()
    except Exception as error:
        return _log_start_failure(error)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.request_reload)
    try:
        await daemon.start()
    except Exception as error:
        await daemon.stop()
        return _log_start_failure(error)
    _logger.info('started')
    await daemon.wait_finished()
    reason = daemon.crash_reason
    await daemon.stop()
    if reason is not None:
        _logger.critical('a service crashed; the process exits', exc_info=reason)
        return _EXIT_FAILURE
    _logger.info('stopped')
    return 0


def _log_start_failure(error: Exception) -> int:
    # Errors of the environment, such as a port in use or an unreadable data folder, need no
    # traceback.
    is_expected = isinstance(error, (OSError, NNGException))
    _logger.error('start failed: %s', error, exc_info=None if is_expected else error)
    return _EXIT_FAILURE
