"""Lines that sum up frequent decisions."""

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Final

from bergamotcart.actions import Decision

_INTERVAL_S: Final = 1.0
_LISTED_DETAILS: Final = 3


@dataclass(slots=True)
class _Summary:
    """Decisions of one system, action and reason since the last line."""

    count: int = 0
    details: set[str] = field(default_factory=set)


class DecisionSummaries:
    """Writes a line per second for all decisions that have system, action and reason in common."""

    __slots__ = ('_logger', '_summaries', '_timer')

    def __init__(self, logger: logging.Logger) -> None:
        """Start without decisions.

        :param logger: receives the lines.
        """
        self._logger = logger
        self._summaries: dict[tuple[str, str, str], _Summary] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, decision: Decision) -> None:
        """Add a decision to its line, which is written within a second."""
        key = (decision.system, decision.action, decision.reason)
        summary = self._summaries.setdefault(key, _Summary())
        summary.count += 1
        summary.details.add(decision.detail)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write the pending lines."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        summaries = tuple(self._summaries.items())
        self._summaries.clear()
        for (system, action, reason), summary in summaries:
            fields = {
                'system': system,
                'action': action,
                'reason': reason,
                'count': summary.count,
                'distinct': len(summary.details),
                'detail': ', '.join(sorted(summary.details)[:_LISTED_DETAILS]),
            }
            self._logger.info('decisions', extra=fields)
