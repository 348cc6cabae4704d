"""HTTP server whose connections are charged to the budget of the process, and limited in time."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from bergamotcart.resources import ConnectionSlots
from bergamotcart_daemon.http._limited_connection import LimitedConnection, SiteLimits
from bergamotcart_daemon.logs import RateLimitedLog
from bergamotcart_daemon.resources import (
    ResourceGuard,
    Timeouts,
    limit_kernel_buffers,
)

MAX_BODY_BYTES: Final = 1024 * 1024
_BACKLOG: Final = 128
# A longer body is received only after memory for it has been reserved.
_UNRESERVED_BYTES: Final = 65_536
# A body is held in pieces, as a whole, and decoded.
_RESERVED_BYTES: Final = 4 * MAX_BODY_BYTES
# Time for which the rest of a refused body is read and discarded.
_LINGERING_S: Final = 2.0

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_logger = logging.getLogger(__name__)


class LimitedServer(SiteLimits):
    """Serves an application within the limits of the process.

    :param application: must not have been started yet.
    """

    def __init__(self, application: web.Application, guard: ResourceGuard) -> None:
        """Prepare the server; ``start`` opens its socket."""
        self._guard = guard
        self._application = application
        self._slots = ConnectionSlots(guard.shares.http)
        self._messages = Timeouts(guard.limits.message_timeout_s, self._expire_message)
        self._answers = Timeouts(guard.limits.answer_timeout_s, self._expire_answer)
        self._keys = itertools.count(1)
        self._connections: dict[int, LimitedConnection] = {}
        self._by_transport: dict[asyncio.BaseTransport | None, LimitedConnection] = {}
        self._log = RateLimitedLog(_logger)
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None

    async def start(self, host: str, port: int, shutdown_timeout_s: float) -> None:
        """Open the listening socket."""

        self._application[_SERVER_KEY] = self
        self._application.middlewares.append(_limit_request)
        self._runner = web.AppRunner(
            self._application,
            access_log=None,
            shutdown_timeout=shutdown_timeout_s,
            lingering_time=_LINGERING_S,
        )
        await self._runner.setup()
        self._listener = await asyncio.get_running_loop().create_server(
            self._build_connection,
            host,
            port,
            backlog=self._guard.accepted_at_once if self._guard.is_limited else _BACKLOG,
        )
        if self._guard.is_limited:
            limit_kernel_buffers(self._listener, _BACKLOG)

    async def stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        self._messages.close()
        self._answers.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def open_connection(self, connection: LimitedConnection) -> bool:
        """Admit a connection, or refuse it."""
        now = asyncio.get_running_loop().time()
        admission = self._slots.open(connection.key, now)
        if admission.evicted is not None:
            self._close(admission.evicted, 'http_closed_descriptors')
        if not admission.is_admitted or self._guard.budget.is_exhausted:
            self._slots.close(connection.key)
            self._report('http_refused')
            return False
        connection.budget_key = self._guard.budget.add(connection, 'http')
        self._connections[connection.key] = connection
        self._by_transport[connection.transport] = connection
        return True

    def close_connection(self, connection: LimitedConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection.key, None)
        self._by_transport.pop(connection.transport, None)
        self._messages.stop(connection.key)
        self._answers.stop(connection.key)
        self._slots.close(connection.key)
        self._guard.budget.remove(connection.budget_key)

    def handle_data(self, connection: LimitedConnection, size: int) -> None:
        """Limit the time of a request once its first byte has arrived."""
        if not connection.is_served:
            self._messages.start(connection.key)
        self._guard.budget.record_received(connection.budget_key, size)

    def handle_unsent_answer(self, connection: LimitedConnection) -> None:
        """Charge an answer, and limit the time in which the client takes it."""
        self._answers.start(connection.key)
        self._guard.budget.charge(connection.budget_key, connection.unsent_bytes)

    def handle_sent_answer(self, connection: LimitedConnection) -> None:
        """Release what was charged for an answer."""
        self._answers.stop(connection.key)
        self._guard.budget.charge(connection.budget_key, 0)

    def give_way(self, connection: LimitedConnection, *, is_stalled: bool) -> None:
        """Close a connection, since others need its memory."""
        event = 'http_closed_stalled' if is_stalled else 'http_closed_memory'
        self._close(connection.key, event)

    async def serve_request(self, request: web.Request, handler: _Handler) -> web.StreamResponse:
        """Answer a request once its body has arrived."""
        connection = self._by_transport.get(request.transport)
        if connection is None:
            raise web.HTTPServiceUnavailable
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_request, connection)
            if request.body_exists:
                await self._read_body(request, connection)
            self._messages.stop(connection.key)
            connection.is_served = True
            self._slots.begin_service(connection.key)
            return await handler(request)

    def _build_connection(self) -> LimitedConnection:
        return LimitedConnection(next(self._keys), self._runner.server(), self)

    async def _read_body(self, request: web.Request, connection: LimitedConnection) -> None:
        size = request.content_length
        if size is not None and size > MAX_BODY_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, size)
        if size is None or size > _UNRESERVED_BYTES:
            await connection.reserve(self._guard.budget, _RESERVED_BYTES)
        # The handler reads the body again, which returns the same object.
        await request.read()
        self._guard.budget.record_whole(connection.budget_key)

    def _end_request(self, connection: LimitedConnection) -> None:
        connection.is_served = False
        self._messages.stop(connection.key)
        self._guard.budget.release(connection.budget_key)
        self._slots.end_service(connection.key, asyncio.get_running_loop().time())

    def _expire_message(self, key: int) -> None:
        self._close(key, 'http_message_timeout')

    def _expire_answer(self, key: int) -> None:
        self._close(key, 'http_answer_timeout')

    def _close(self, key: int, event: str) -> None:
        connection = self._connections.get(key)
        if connection is not None:
            self._report(event)
            connection.abort()

    def _report(self, event: str) -> None:
        self._guard.metrics.count_event(event)
        self._log.warning('connection of an HTTP client closed: %s', event)


_SERVER_KEY: Final = web.AppKey('bergamotcart_server', LimitedServer)


@web.middleware
async def _limit_request(request: web.Request, handler: _Handler) -> web.StreamResponse:
    return await request.app[_SERVER_KEY].serve_request(request, handler)
