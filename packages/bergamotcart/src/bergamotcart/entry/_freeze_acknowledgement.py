"""Acknowledgement of the control state, held back while writes to a frozen group are in flight.

Control chooses a primary among logs that it reads once all entries have acknowledged the freeze. A
write that was sent before the freeze must have ended by then. Otherwise the former primary might
still acknowledge it, and the chosen instance might lack it.
"""

from typing import Final

from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._requests import Request
from bergamotcart.entry._timers import Timer
from bergamotcart.messages import GroupPhase

# Control refuses to renew the lease meanwhile, so this is shorter than a lease of one second without
# the renewal interval. A write that has not ended by then is in doubt for its caller.
SETTLE_TIMEOUT_S: Final = 0.5


class FreezeAcknowledgement:
    """Index of the control state that this entry has acknowledged."""

    __slots__ = ('_context', '_executions', '_has_waited', '_index', '_timer')

    def __init__(self, context: EngineContext, executions: Executions) -> None:
        """Start without an acknowledged state."""
        self._context = context
        self._executions = executions
        self._index = 0
        self._timer: Timer | None = None
        self._has_waited = False

    @property
    def index(self) -> int:
        """Index of the newest state whose freezes this entry complies with."""
        return self._index

    @property
    def is_pending(self) -> bool:
        """Whether the applied state has not been acknowledged yet."""
        return self._index < self._context.control_view.applied_index

    def update(self) -> None:
        """Acknowledge the applied state unless a write to a frozen group is in flight."""
        if not self.is_pending:
            return
        if self._has_waited or not self._has_writes_in_flight():
            self._acknowledge()
        elif self._timer is None:
            self._timer = self._context.call_later(SETTLE_TIMEOUT_S, self._end_wait)

    def is_awaited_write(self, request: Request) -> bool:
        """Tell whether control still waits for a write that was sent before its group was frozen.

        Such a write may be acknowledged under a lease, as the next primary has not been chosen.
        """
        row = self._context.control_view.groups.get(request.group)
        return (
            row is not None
            and row.phase is GroupPhase.frozen
            and row.term == request.term
            and row.modified_index > self._index
        )

    def _has_writes_in_flight(self) -> bool:
        view = self._context.control_view
        return any(
            self.is_awaited_write(request) and view.has_synchronous_replicas(request.group)
            for request in self._executions.list_committing()
        )

    def _end_wait(self) -> None:
        self._has_waited = True
        self._context.publish_decision(
            'failover', 'acknowledge_freeze', 'writes_in_flight', detail='their outcome is in doubt'
        )

    def _acknowledge(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._has_waited = False
        self._index = self._context.control_view.applied_index
