"""A target that answers from a script, for the tests of this subpackage."""

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable

from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bergamotcart_daemon.callers._session import AnyCaller

_POSITION = ([('primary', 3, 3, 41)], ['role', 'term', 'log_term', 'position'])
_LEDGER_VALUES = re.compile(r"VALUES \('(\w+)', '(\w+)', '(\w+)'")
_SLEEP_S = 0.02

Hook = Callable[[], Awaitable[object]]


class _ScriptedError(Exception):
    """An error packet to send."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class FakeTarget:
    """Keeps what it was sent, and a ledger of request identifiers.

    :param hooks: functions that run instead of the statement that they are named by.
    """

    def __init__(self) -> None:
        self.statements: list[str] = []
        self.hooks: dict[str, Hook] = {}
        self.errors: dict[str, _ScriptedError] = {}
        self.ledger: dict[str, str] | None = {}
        self.address = ''
        self.most_running = 0
        self._running = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._control = LocalControl()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._writers)

    async def __aenter__(self) -> 'FakeTarget':
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        return self

    async def __aexit__(self, *unused: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        await self.disconnect_all()

    async def disconnect_all(self) -> None:
        """Close all connections, as a killed process does."""
        for writer in self._writers:
            writer.transport.abort()

    def fail(self, sql: str, code: int, message: str) -> None:
        """Answer a statement with an error."""

        self.errors[sql] = _ScriptedError(code, message)

    async def answer(self, sql: str) -> object:
        """Answer a statement."""
        self.statements.append(sql)
        error = self.errors.get(sql)
        if error is not None:
            raise error
        hook = self.hooks.get(sql)
        if hook is not None:
            return await hook()
        if sql.startswith(('SHOW REPLICATION', 'WAIT FOR')):
            return _POSITION
        if sql.startswith('CREATE TABLE'):
            self.ledger = {}
        elif sql.startswith('INSERT INTO bergamotcart_ledger'):
            self._insert(sql)
        elif sql.startswith('SELECT fingerprint'):
            fingerprint = next(iter(self.ledger.values()))
            return [(fingerprint, 2, 7)], ['fingerprint', 'affected_rows', 'last_insert_id']
        elif sql.startswith('SELECT'):
            self._running += 1
            self.most_running = max(self.most_running, self._running)
            await asyncio.sleep(_SLEEP_S)
            self._running -= 1
            return [(1, 'one', None)], ['number', 'text', 'nothing']
        return None

    def _insert(self, sql: str) -> None:
        if self.ledger is None:
            raise _ScriptedError(1146, 'no such table')
        _, request_id, fingerprint = _LEDGER_VALUES.search(sql).groups()
        if request_id in self.ledger:
            raise _ScriptedError(1062, 'duplicate entry')
        self.ledger[request_id] = fingerprint

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(
            stream=MysqlStream(reader, writer),
            session=_Session(self),
            control=self._control,
            identity_provider=AnyCaller(),
        )
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            await connection.start()
        self._writers.discard(writer)
        writer.close()


class _Connection(Connection):
    async def handle_query(self, data: bytes) -> None:
        try:
            await super().handle_query(data)
        except _ScriptedError as error:
            code = error.code.to_bytes(2, 'little')
            await self.stream.write(b''.join((b'\xff', code, b'#HY000', str(error).encode())))


class _Session(BaseSession):
    def __init__(self, target: FakeTarget) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self._target = target

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> object:
        """Pass the statement to the target."""
        return await self._target.answer(sql)


async def stay_silent() -> None:
    """Answer after the end of every test."""
    await asyncio.sleep(60)
