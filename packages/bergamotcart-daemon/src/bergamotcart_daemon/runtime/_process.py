"""Runs a daemon until a signal ends it."""

import asyncio
import logging
import signal
from collections.abc import Callable

from pynng import NNGException

from bergamotcart_daemon.runtime._control import ControlDaemon
from bergamotcart_daemon.runtime._daemon import BoottimeEventLoop, Daemon
from bergamotcart_daemon.runtime._entry import EntryDaemon
from bergamotcart_daemon.settings import ControlSettings, EntrySettings
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


def build_daemon(settings: EntrySettings | ControlSettings) -> Daemon:
    """Build the daemon of a role with the product's own protocols.

    :param settings: checked settings of the role.
    """
    # Each process loads only the protocols that it speaks.
    from bergamotcart_daemon.runtime import _mysql as protocols

    if isinstance(settings, ControlSettings):
        return ControlDaemon(settings, protocols.HttpControlAdapters(settings))
    return EntryDaemon(settings, protocols.MysqlEntryAdapters(settings))
