"""Limits on the connections of callers that speak the MySQL protocol."""

import asyncio
import logging
from typing import Final

from bergamotcart.resources import MAX_MESSAGE_BYTES, ConnectionSlots
from bergamotcart_daemon.callers._errors import CallerError
from bergamotcart_daemon.logs import RateLimitedLog
from bergamotcart_daemon.resources import BudgetMember, ResourceGuard, Timeouts

# A longer command is received only after memory for it has been reserved.
_UNRESERVED_BYTES: Final = 65_536
# A command is held as received, as text, and as encoded for the target.
_RESERVED_BYTES: Final = 4 * MAX_MESSAGE_BYTES
_TOO_MANY: Final = CallerError(1040, '08004', 'too many connections; verdict=not_run')

_logger = logging.getLogger(__name__)


class CallerConnectionLimits:
    """Limits the connections of one server."""

    def __init__(self, guard: ResourceGuard) -> None:
        """Start without connections."""
        self.guard = guard
        self.slots = ConnectionSlots(guard.shares.callers)
        self._messages = Timeouts(guard.limits.message_timeout_s, self._expire_message)
        self._answers = Timeouts(guard.limits.answer_timeout_s, self._expire_answer)
        self._connections: dict[int, LimitedCaller] = {}
        self._log = RateLimitedLog(_logger)

    def open(self, connection: 'LimitedCaller') -> bool:
        """Admit a connection, or refuse it."""
        admission = self.slots.open(connection.key, asyncio.get_running_loop().time())
        return self._admit(connection, admission.evicted, is_admitted=admission.is_admitted)

    def identify(self, connection: 'LimitedCaller', caller: str) -> bool:
        """Count a connection to its caller, or refuse it."""
        self.guard.budget.move(connection.key, caller)
        now = asyncio.get_running_loop().time()
        admission = self.slots.identify(connection.key, caller, now)
        return self._admit(connection, admission.evicted, is_admitted=admission.is_admitted)

    def start_message(self, connection: 'LimitedCaller') -> None:
        """Limit the time of a command whose length has arrived."""
        if self.guard.is_limited:
            self._messages.start(connection.key)

    def stop_message(self, connection: 'LimitedCaller') -> None:
        """Stop the time limit of a command."""
        self._messages.stop(connection.key)

    def start_answer(self, connection: 'LimitedCaller') -> None:
        """Limit the time in which the caller takes an answer."""
        if self.guard.is_limited:
            self._answers.start(connection.key)
            self.guard.budget.charge(connection.key, connection.unsent_bytes)

    def stop_answer(self, connection: 'LimitedCaller') -> None:
        """Stop the time limit of an answer."""
        self._answers.stop(connection.key)
        self.guard.budget.charge(connection.key, 0)

    def add(self, connection: 'LimitedCaller') -> int:
        """Return the key of a new connection."""
        key = self.guard.budget.add(connection)
        self._connections[key] = connection
        return key

    def remove(self, connection: 'LimitedCaller') -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection.key, None)
        self._messages.stop(connection.key)
        self._answers.stop(connection.key)
        self.slots.close(connection.key)
        self.guard.budget.remove(connection.key)

    def close(self) -> None:
        """Stop all time limits."""
        self._messages.close()
        self._answers.close()

    def report(self, event: str) -> None:
        """Count a connection that is closed or refused."""
        self.guard.metrics.count_event(event)
        self._log.warning('connection of a caller closed: %s', event)

    def _admit(
        self, connection: 'LimitedCaller', evicted: int | None, *, is_admitted: bool
    ) -> bool:
        if evicted is not None:
            self._connections[evicted].abort('caller_closed_descriptors')
        if is_admitted and not self.guard.budget.is_exhausted:
            return True
        connection.refuse()
        return False

    def _expire_message(self, key: int) -> None:
        self._connections[key].abort('caller_message_timeout')

    def _expire_answer(self, key: int) -> None:
        self._connections[key].abort('caller_answer_timeout')


class LimitedCaller(BudgetMember):
    """What one connection holds."""

    def __init__(self, transport: asyncio.Transport, limits: CallerConnectionLimits) -> None:
        """Start to charge the connection."""
        self._transport = transport
        self._limits = limits
        self._reservation: asyncio.Future[None] | None = None
        self.key = limits.add(self)

    @property
    def unsent_bytes(self) -> int:
        """Size of the answers that the caller has not taken yet."""
        return self._transport.get_write_buffer_size()

    async def begin_command(self, size: int) -> None:
        """Wait until the rest of a command may be received.

        :param size: bytes that the caller has announced.
        :raises ConnectionAbortedError: if it is too long.
        """
        if not self._limits.guard.is_limited:
            return
        if size > self._limits.guard.limits.max_message_bytes:
            self.abort('caller_message_too_long')
            raise ConnectionAbortedError(f'command of {size} bytes')
        self._limits.start_message(self)
        if size > _UNRESERVED_BYTES and not self._reserve():
            self._reservation = asyncio.get_running_loop().create_future()
            await self._reservation

    def end_command(self) -> None:
        """Note that a command has arrived as a whole."""
        self._limits.stop_message(self)
        self._limits.guard.budget.record_whole(self.key)
        self._limits.slots.set_busy(self.key)

    def end_answer(self) -> None:
        """Release the memory of a command that is answered."""
        self._limits.guard.budget.release(self.key)

    def record_received(self, size: int) -> None:
        """Note that some bytes have arrived."""
        self._limits.guard.budget.record_received(self.key, size)

    def pause_writing(self) -> None:
        """Note that the caller does not take an answer as fast as it is written."""
        self._limits.start_answer(self)

    def resume_writing(self) -> None:
        """Note that the caller has taken most of an answer."""
        self._limits.stop_answer(self)

    def refuse(self) -> None:
        """Tell the caller that there are too many connections, and close this one."""
        self._limits.report('caller_refused_descriptors')
        packet = _TOO_MANY.encode('utf8')
        self._transport.write(len(packet).to_bytes(4, 'little') + packet)
        self._transport.close()

    def abort(self, event: str) -> None:
        """Close the connection at once."""
        self._limits.report(event)
        self._transport.abort()

    def close(self) -> None:
        """Release all that the connection holds."""
        self._limits.remove(self)
        if self._reservation is not None and not self._reservation.done():
            self._reservation.set_exception(ConnectionResetError('connection closed'))

    def give_way(self, *, is_stalled: bool) -> None:
        """Close the connection, since others need the memory that it holds."""
        self.abort('caller_closed_stalled' if is_stalled else 'caller_closed_memory')

    def continue_with_reservation(self) -> None:
        """Receive the rest of a command."""
        if self._reservation is not None and not self._reservation.done():
            self._reservation.set_result(None)

    def _reserve(self) -> bool:
        return self._limits.guard.budget.reserve(self.key, _RESERVED_BYTES)
