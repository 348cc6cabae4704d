"""Service that listens for callers."""

import asyncio
import contextlib
import itertools
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

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
from bergamotcart_daemon.callers._reader import CallerReader
from bergamotcart_daemon.callers._session import AnyCaller, CallerSession, StatementHandler
from bergamotcart_daemon.entry import CallerFrontend
from bergamotcart_daemon.metrics import Metrics

# Callers of a whole VM may reconnect at once when another proxy leaves.
_BACKLOG: Final = 1024
# A connection that does not log in must not stay.
_HANDSHAKE_S: Final = 10.0
# A caller whose VM was lost sends no end of its connection.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 20),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 4),
)
# A caller that takes its answer more slowly than this does not hold up the shutdown.
_CLOSE_WAIT_S: Final = 30.0
_CLOSE_CHECK_S: Final = 0.01
_NS_PER_MS: Final = 1_000_000

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Pending:
    session_id: int
    arrived_at: float
    answer: asyncio.Future[Outcome | None]


class CallerServer(CallerFrontend, StatementHandler):
    """MySQL server whose statements go to the entry engine.

    :param listen: listening address, as ``host:port``.
    :param submit: takes the inputs of the engine.
    """

    def __init__(
        self,
        listen: str,
        metrics: Metrics,
        submit: Callable[[EntryInput], None],
    ) -> None:
        """Keep the parameters; the socket is opened at start."""
        super().__init__()
        self._listen = Address.parse(listen)
        self._metrics = metrics
        self._submit = submit
        self._session_ids = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._running: dict[int, int] = {}
        self._connections: dict[CallerConnection, asyncio.StreamWriter] = {}
        self._listener: asyncio.Server | None = None
        self._control = LocalControl()
        self._identities = AnyCaller()

    async def on_start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._build_protocol,
            self._listen.host,
            self._listen.port,
            backlog=_BACKLOG,
        )
        self.exit_stack.callback(server.close)
        self._listener = server

    async def on_stop(self) -> None:
        """Let callers take the answers that are being written, then close all connections."""
        if self._listener is not None:
            self._listener.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_WAIT_S):
                await self._finish_answers()

    def open_session(self, caller: str, group: str | None) -> int:
        """Start a session and return its identifier."""
        session_id = next(self._session_ids)
        self._submit(SessionOpened(session_id, caller, group))
        return session_id

    def close_session(self, session_id: int) -> None:
        """End a session; its running statement gets no answer any more."""
        self._submit(SessionClosed(session_id))
        request_id = self._running.get(session_id)
        if request_id is not None:
            self._finish(request_id, None)

    async def execute(self, session_id: int, sql: str) -> Outcome | None:
        """Run a statement; ``None`` means that the session ended meanwhile."""
        loop = asyncio.get_running_loop()
        request_id = next(self._request_ids)
        answer: asyncio.Future[Outcome | None] = loop.create_future()
        self._pending[request_id] = _Pending(session_id, loop.time(), answer)
        self._running[session_id] = request_id
        unix_ms = time.time_ns() // _NS_PER_MS
        self._submit(RequestArrived(request_id, session_id, sql, unix_ms))
        return await answer

    def reply(self, action: Reply) -> None:
        """Answer a request; the answer to a caller that has left is dropped."""
        pending = self._finish(action.request_id, action.outcome)
        if pending is not None:
            now = asyncio.get_running_loop().time()
            self._metrics.observe_statement(now - pending.arrived_at)

    async def _finish_answers(self) -> None:
        while any(connection.busy for connection in self._connections):
            await asyncio.sleep(_CLOSE_CHECK_S)
        closings = [_close(writer) for writer in self._connections.values()]
        await asyncio.gather(*closings, return_exceptions=True)

    def _finish(self, request_id: int, outcome: Outcome | None) -> _Pending | None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return None
        self._running.pop(pending.session_id, None)
        if not pending.answer.done():
            pending.answer.set_result(outcome)
        return pending

    def _build_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(CallerReader(), self._serve)

    async def _serve(self, reader: CallerReader, writer: asyncio.StreamWriter) -> None:
        session = CallerSession(self)
        connection = CallerConnection(
            stream=MysqlStream(reader, writer),
            session=session,
            control=self._control,
            identity_provider=self._identities,
        )
        connection.connection_id = await self._control.add(connection)
        self._connections[connection] = writer
        reader.on_lost = session.end
        for option in _KEEPALIVE_OPTIONS:
            writer.get_extra_info('socket').setsockopt(*option)
        handshake_end = asyncio.get_running_loop().call_later(
            _HANDSHAKE_S,
            _close_unopened,
            session,
            writer,
        )
        try:
            await connection.start()
        except (OSError, EOFError, ConnectionClosed):
            _logger.debug('connection %s of a caller broke', connection.connection_id)
        except Exception:
            _logger.warning('handshake with a caller failed', exc_info=True)
        finally:
            handshake_end.cancel()
            self._connections.pop(connection, None)
            writer.close()
            await self._control.remove(connection.connection_id)


def _close_unopened(session: CallerSession, writer: asyncio.StreamWriter) -> None:
    if session.session_id is None:
        writer.close()


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    # A closed connection still sends what its caller has not taken yet.
    await writer.wait_closed()
