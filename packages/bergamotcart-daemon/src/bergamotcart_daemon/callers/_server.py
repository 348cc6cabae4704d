"""Service that accepts connections of callers."""

import asyncio
import contextlib
import itertools
import logging
import socket
import time
from collections.abc import Callable
from typing import Final

import msgspec
from mysql_mimic.control import LocalControl
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from bergamotcart.entry import (
    EntryInput,
    Reply,
    RequestArrived,
    SessionClosed,
    SessionOpened,
)
from bergamotcart.outcomes import Outcome
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.callers._connection import CallerConnection
from bergamotcart_daemon.callers._connection_limits import CallerConnectionLimits, LimitedCaller
from bergamotcart_daemon.callers._session import (
    CallerSession,
    StatementHandler,
    UncheckedIdentityProvider,
)
from bergamotcart_daemon.callers._stream_reader import CallerProtocol, CallerReader
from bergamotcart_daemon.entry import CallerFrontend
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import (
    ResourceGuard,
    limit_kernel_buffers,
)

# When another entry shuts down, all callers of a VM may reconnect here at the same time.
_LISTEN_BACKLOG: Final = 1024
# A caller whose VM is lost does not close its connection; keepalive probes detect that.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 20),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 4),
)
# Time that callers have to read their last response, so that slow ones do not delay the shutdown.
_SHUTDOWN_TIMEOUT_S: Final = 30.0
_SHUTDOWN_POLL_INTERVAL_S: Final = 0.01
_NS_PER_MS: Final = 1_000_000

_logger = logging.getLogger(__name__)


class _PendingRequest(msgspec.Struct, frozen=True):
    """A request without an outcome yet; ``arrived_at`` is in seconds of the event loop."""

    session_id: int
    arrived_at: float
    outcome_future: asyncio.Future[Outcome | None]


class CallerServer(CallerFrontend, StatementHandler):
    """MySQL server that passes statements to the entry engine.

    :param listen: listening address, as ``host:port``.
    :param submit: takes the inputs of the engine.
    :param guard: limits of the process and of each connection.
    """

    def __init__(
        self,
        listen: str,
        metrics: Metrics,
        submit: Callable[[EntryInput], None],
        guard: ResourceGuard | None = None,
    ) -> None:
        """Store the parameters; the socket is opened at start."""
        super().__init__()
        self._listen = Address.parse(listen)
        self._metrics = metrics
        self._submit = submit
        self._limits = CallerConnectionLimits(guard or ResourceGuard.build_unlimited(metrics))
        self._session_ids = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._request_ids_by_session: dict[int, int] = {}
        self._connections: dict[CallerConnection, asyncio.StreamWriter] = {}
        self._listener: asyncio.Server | None = None
        self._mysql_control = LocalControl()
        self._identity_provider = UncheckedIdentityProvider()

    async def on_start(self) -> None:
        """Open the listening socket."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._build_protocol,
            self._listen.host,
            self._listen.port,
            backlog=self._limits.guard.accepted_at_once
            if self._limits.guard.is_limited
            else _LISTEN_BACKLOG,
        )
        if self._limits.guard.is_limited:
            limit_kernel_buffers(server, _LISTEN_BACKLOG)
        self.exit_stack.callback(self._limits.close)
        self.exit_stack.callback(server.close)
        self._listener = server

    async def on_stop(self) -> None:
        """Wait until callers have read their last responses, then close all connections."""
        if self._listener is not None:
            self._listener.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SHUTDOWN_TIMEOUT_S):
                await self._close_connections()

    def open_session(self, caller: str, group: str | None) -> int:
        """Start a session and return its identifier."""
        session_id = next(self._session_ids)
        self._submit(SessionOpened(session_id, caller, group))
        return session_id

    def close_session(self, session_id: int) -> None:
        """End a session; its running statement gets no response."""
        self._submit(SessionClosed(session_id))
        request_id = self._request_ids_by_session.get(session_id)
        if request_id is not None:
            self._complete_request(request_id, None)

    async def execute(self, session_id: int, sql: str) -> Outcome | None:
        """Return the outcome of a statement, or ``None`` if the session ended before it."""
        loop = asyncio.get_running_loop()
        request_id = next(self._request_ids)
        outcome_future: asyncio.Future[Outcome | None] = loop.create_future()
        self._pending_requests[request_id] = _PendingRequest(
            session_id, loop.time(), outcome_future
        )
        self._request_ids_by_session[session_id] = request_id
        unix_ms = time.time_ns() // _NS_PER_MS
        self._submit(RequestArrived(request_id, session_id, sql, unix_ms))
        return await outcome_future

    def reply(self, action: Reply) -> None:
        """Complete a request; the outcome is dropped if the caller has disconnected."""
        pending = self._complete_request(action.request_id, action.outcome)
        if pending is not None:
            now = asyncio.get_running_loop().time()
            self._metrics.observe_statement(now - pending.arrived_at)

    async def _close_connections(self) -> None:
        while any(connection.busy for connection in self._connections):
            await asyncio.sleep(_SHUTDOWN_POLL_INTERVAL_S)
        closings = [_close_writer(writer) for writer in self._connections.values()]
        await asyncio.gather(*closings, return_exceptions=True)

    def _complete_request(self, request_id: int, outcome: Outcome | None) -> _PendingRequest | None:
        pending = self._pending_requests.pop(request_id, None)
        if pending is None:
            return None
        self._request_ids_by_session.pop(pending.session_id, None)
        if not pending.outcome_future.done():
            pending.outcome_future.set_result(outcome)
        return pending

    def _build_protocol(self) -> CallerProtocol:
        return CallerProtocol(CallerReader(), self._serve_connection)

    async def _serve_connection(self, reader: CallerReader, writer: asyncio.StreamWriter) -> None:
        limited = LimitedCaller(writer.transport, self._limits)
        reader.limited = limited
        writer.transport.get_protocol().limited = limited
        with contextlib.ExitStack() as stack:
            stack.callback(limited.close)
            if self._limits.open(limited):
                await self._serve_admitted(reader, writer, limited)

    async def _serve_admitted(
        self, reader: CallerReader, writer: asyncio.StreamWriter, limited: LimitedCaller
    ) -> None:
        session = CallerSession(self, lambda name: self._limits.identify(limited, name))
        connection = CallerConnection(
            stream=MysqlStream(reader, writer),
            session=session,
            control=self._mysql_control,
            identity_provider=self._identity_provider,
        )
        connection.connection_id = await self._mysql_control.add(connection)
        self._connections[connection] = writer
        reader.on_connection_lost = session.end_engine_session
        for option in _KEEPALIVE_OPTIONS:
            writer.get_extra_info('socket').setsockopt(*option)
        handshake_timer = asyncio.get_running_loop().call_later(
            self._limits.guard.limits.startup_timeout_s,
            _close_without_session,
            session,
            writer,
        )
        try:
            await connection.start()
        except (OSError, EOFError, ConnectionClosed):
            _logger.debug('caller disconnected, connection_id=%s', connection.connection_id)
        except Exception:
            _logger.warning(
                'connection of a caller failed, connection_id=%s; closing it',
                connection.connection_id,
                exc_info=True,
            )
        finally:
            handshake_timer.cancel()
            self._connections.pop(connection, None)
            writer.close()
            await self._mysql_control.remove(connection.connection_id)


def _close_without_session(session: CallerSession, writer: asyncio.StreamWriter) -> None:
    if session.session_id is None:
        writer.close()


async def _close_writer(writer: asyncio.StreamWriter) -> None:
    writer.close()
    # A closed writer still sends the data in its buffer.
    await writer.wait_closed()
