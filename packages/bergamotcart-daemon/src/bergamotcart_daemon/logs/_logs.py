"""Configuration of logging and the log of decisions."""

import logging
import sys
from typing import Final, TextIO

from mode import Service
from pythonjsonlogger.msgspec import MsgspecFormatter

from bergamotcart.actions import Decision
from bergamotcart_daemon.logs._handler import BoundedHandler

_FIELDS: Final = ('levelname', 'name', 'message')
_OPTIONAL_FIELDS: Final = (
    'request',
    'statement',
    'session',
    'caller',
    'group',
    'target',
    'term',
)


def configure_logging(
    level: str,
    role: str,
    process: str,
    stream: TextIO | None = None,
) -> None:
    """Write one JSON object per line.

    :param level: least level that is written, in lower case.
    :param role: role of this process, added to each line.
    :param process: name of this process, added to each line.
    :param stream: where lines go; standard error if not given.
    """
    # Lines name no thread, process or source line, so records need not collect them.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    logging._srcfile = None
    formatter = MsgspecFormatter(
        list(_FIELDS),
        timestamp=True,
        rename_fields={'levelname': 'level', 'name': 'logger'},
        static_fields={'role': role, 'node': process},
    )
    handler = BoundedHandler((stream or sys.stderr).fileno())
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The library logs each refused statement and each connection; decisions cover both.
    logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)
    Service.mundane_level = 'debug'
    # A VM that was suspended explains late timers, and the lease tells of it.
    logging.getLogger('mode.timers').setLevel(logging.ERROR)


class DecisionLog:
    """Writes one line for each decision."""

    __slots__ = ('_logger',)

    def __init__(self) -> None:
        """Use the logger ``bergamotcart.decisions``."""
        self._logger = logging.getLogger('bergamotcart.decisions')

    def write(self, decision: Decision) -> None:
        """Write a decision with its fields.

        :param decision: what an engine decided.
        """
        if not self._logger.isEnabledFor(logging.INFO):
            return
        fields: dict[str, object] = {
            'system': decision.system,
            'action': decision.action,
            'reason': decision.reason,
        }
        for name in _OPTIONAL_FIELDS:
            field = getattr(decision, name)
            if field is not None:
                fields[name] = field
        if decision.detail:
            fields['detail'] = decision.detail
        self._logger.info('decision', extra=fields)
