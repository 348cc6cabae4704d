"""Runs a daemon until a signal ends it."""

import asyncio
import logging
import signal

from pynng import NNGException

from bergamotcart_daemon.runtime._control import ControlDaemon
from bergamotcart_daemon.runtime._daemon import Daemon
from bergamotcart_daemon.runtime._entry import EntryDaemon
from bergamotcart_daemon.settings import ControlSettings, EntrySettings
from bergamotcart_daemon.storage import StorageError

_logger = logging.getLogger(__name__)
_FAILED = 1


def run_daemon(settings: EntrySettings | ControlSettings) -> int:
    """Run the process of a role.

    :param settings: checked settings of the role.
    :returns: exit status: 0 after a graceful shutdown, 1 after a fault.
    """
    return asyncio.run(_run(settings))


async def _run(settings: EntrySettings | ControlSettings) -> int:
    try:
        daemon = _build(settings)
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


def _build(settings: EntrySettings | ControlSettings) -> Daemon:
    if isinstance(settings, EntrySettings):
        return EntryDaemon(settings)
    return ControlDaemon(settings)
