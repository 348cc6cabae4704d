"""One connection of an HTTP client."""

import abc
import asyncio
from typing import Final

from bergamotcart_daemon.resources import BudgetMember, ConnectionBudget

_REFUSAL: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
)


class SiteLimits(abc.ABC):
    """Server that a connection reports to."""

    @abc.abstractmethod
    def open_connection(self, connection: 'LimitedConnection') -> bool:
        """Admit a connection, or refuse it."""

    @abc.abstractmethod
    def close_connection(self, connection: 'LimitedConnection') -> None:
        """Forget a connection that is closed."""

    @abc.abstractmethod
    def handle_data(self, connection: 'LimitedConnection', size: int) -> None:
        """Note that some bytes have arrived."""

    @abc.abstractmethod
    def handle_unsent_answer(self, connection: 'LimitedConnection') -> None:
        """Note that the client does not take an answer as fast as it is written."""

    @abc.abstractmethod
    def handle_sent_answer(self, connection: 'LimitedConnection') -> None:
        """Note that the client has taken most of an answer."""

    @abc.abstractmethod
    def give_way(self, connection: 'LimitedConnection', *, is_stalled: bool) -> None:
        """Close a connection, since others need its memory."""


class LimitedConnection(asyncio.Protocol, BudgetMember):
    """Passes what arrives to the protocol of the HTTP library, and reports it.

    :param inner: protocol of the library for this connection.
    :ivar is_served: whether a whole request has arrived that is not answered yet.
    :ivar budget_key: key of the connection in the budget of the process.
    """

    def __init__(self, key: int, inner: asyncio.Protocol, owner: SiteLimits) -> None:
        """Prepare a connection that is not open yet."""
        self.key = key
        self.is_served = False
        self.budget_key = 0
        self._inner = inner
        self._owner = owner
        self._is_admitted = False
        self._transport: asyncio.Transport | None = None
        self._reservation: asyncio.Future[None] | None = None

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection."""
        return self._transport

    @property
    def unsent_bytes(self) -> int:
        """Size of the answers that the client has not taken yet."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection if it is admitted."""
        self._transport = transport
        self._is_admitted = self._owner.open_connection(self)
        if self._is_admitted:
            self._inner.connection_made(transport)
        else:
            transport.write(_REFUSAL)
            transport.close()

    def data_received(self, data: bytes) -> None:
        """Pass data to the library."""
        if self._is_admitted:
            self._owner.handle_data(self, len(data))
            self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the end of the data to the library."""
        return self._inner.eof_received() if self._is_admitted else None

    def pause_writing(self) -> None:
        """Pass it to the library, which waits with the rest of the answer."""
        if self._is_admitted:
            self._owner.handle_unsent_answer(self)
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass it to the library, which goes on with the answer."""
        if self._is_admitted:
            self._owner.handle_sent_answer(self)
            self._inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all that the connection holds."""
        if self._is_admitted:
            self._owner.close_connection(self)
            self._inner.connection_lost(exc)
        if self._reservation is not None and not self._reservation.done():
            self._reservation.set_exception(ConnectionResetError('connection closed'))

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    async def reserve(self, budget: ConnectionBudget, size: int) -> None:
        """Wait until memory is reserved.

        :raises ConnectionResetError: if the connection is closed before.
        """
        if budget.reserve(self.budget_key, size):
            return
        self._reservation = asyncio.get_running_loop().create_future()
        await self._reservation

    def give_way(self, *, is_stalled: bool) -> None:
        """Close the connection, since others need the memory that it holds."""
        self._owner.give_way(self, is_stalled=is_stalled)

    def continue_with_reservation(self) -> None:
        """Receive the body."""
        if self._reservation is not None and not self._reservation.done():
            self._reservation.set_result(None)
