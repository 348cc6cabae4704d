"""Configuration of logging, and the log of decisions."""

import logging
import sys
from typing import Final, TextIO

from mode import Service

from bergamotcart.actions import Decision
from bergamotcart_daemon.logs._formatter import EscapingFormatter
from bergamotcart_daemon.logs._handler import RateLimitedHandler
from bergamotcart_daemon.logs._summaries import DecisionSummaries

_RECORD_FIELDS: Final = ('levelname', 'name', 'message')
_OPTIONAL_DECISION_FIELDS: Final = (
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
    process_name: str,
    stream: TextIO | None = None,
) -> None:
    """Configure logging to write one JSON object per line.

    :param level: lowest level that is written, in lower case.
    :param role: role of this process, added to each line.
    :param process_name: name of this process, added to each line.
    :param stream: stream to write to; standard error by default.
    """
    # Lines do not contain the thread, process, task or source line, so records need not collect
    # them.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    logging._srcfile = None
    formatter = EscapingFormatter(
        list(_RECORD_FIELDS),
        timestamp=True,
        rename_fields={'levelname': 'level', 'name': 'logger'},
        static_fields={'role': role, 'node': process_name},
    )
    handler = RateLimitedHandler((stream or sys.stderr).fileno())
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # mysql_mimic logs each refused statement and each connection, but the decisions in the log
    # already show these.
    logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)
    Service.mundane_level = 'debug'
    # Timers run late after a suspension of the VM, which the decisions on the lease already show.
    logging.getLogger('mode.timers').setLevel(logging.ERROR)


class DecisionLog:
    """Writes one log line for each decision, and sums up those that are frequent."""

    __slots__ = ('_logger', '_summaries')

    def __init__(self) -> None:
        """Create a log that writes to the logger ``bergamotcart.decisions``."""
        self._logger = logging.getLogger('bergamotcart.decisions')
        self._summaries = DecisionSummaries(self._logger)

    def write(self, decision: Decision) -> None:
        """Write a decision with its fields.

        :param decision: decision of an engine.
        """
        if not self._logger.isEnabledFor(logging.INFO):
            return
        if decision.is_frequent:
            self._summaries.add(decision)
            return
        fields: dict[str, object] = {
            'system': decision.system,
            'action': decision.action,
            'reason': decision.reason,
        }
        for name in _OPTIONAL_DECISION_FIELDS:
            field = getattr(decision, name)
            if field is not None:
                fields[name] = field
        if decision.detail:
            fields['detail'] = decision.detail
        self._logger.info('decision', extra=fields)

    def flush(self) -> None:
        """Write the lines of the decisions that are being summed up."""
        self._summaries.flush()
