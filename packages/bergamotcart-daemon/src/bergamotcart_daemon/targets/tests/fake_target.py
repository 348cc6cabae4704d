"""Fake MySQL target with scripted responses, for the tests of this subpackage."""

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable

from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bergamotcart_daemon.callers._session import UncheckedIdentityProvider

_POSITION_RESULT = ([('primary', 3, 3, 41)], ['role', 'term', 'log_term', 'position'])
_LEDGER_VALUES_PATTERN = re.compile(r"VALUES \('(\w+)', '(\w+)', '(\w+)'")
_SELECT_DURATION_S = 0.02

Hook = Callable[[], Awaitable[object]]


class _ScriptedError(Exception):
    """Error to send as an error packet."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class FakeTarget:
    """Records the statements that it receives, and keeps a ledger of request identifiers.

    :ivar hooks: coroutine functions that run instead of a statement, by its text.
    :ivar errors: errors with which a statement fails, by its text.
    :ivar ledger: fingerprints by request identifier, or ``None`` without a ledger table.
    :ivar max_concurrent_selects: greatest number of SELECT statements that ran at the same time.
    """

    def __init__(self) -> None:
        self.statements: list[str] = []
        self.hooks: dict[str, Hook] = {}
        self.errors: dict[str, _ScriptedError] = {}
        self.ledger: dict[str, str] | None = {}
        self.address = ''
        self.max_concurrent_selects = 0
        self._running_selects = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._mysql_control = LocalControl()
        self._server: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    async def __aenter__(self) -> 'FakeTarget':
        self._server = await asyncio.start_server(self._serve_connection, '127.0.0.1', 0)
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

    def fail_statement(self, sql: str, code: int, message: str) -> None:
        """Let a statement fail with an error from now on."""
        self.errors[sql] = _ScriptedError(code, message)

    async def run_statement(self, sql: str) -> object:
        """Record a statement and return its result."""
        self.statements.append(sql)
        error = self.errors.get(sql)
        if error is not None:
            raise error
        hook = self.hooks.get(sql)
        if hook is not None:
            return await hook()
        if sql.startswith(('SHOW REPLICATION', 'WAIT FOR')):
            return _POSITION_RESULT
        if sql.startswith('CREATE TABLE'):
            self.ledger = {}
        elif sql.startswith('INSERT INTO bergamotcart_ledger'):
            self._insert_ledger_row(sql)
        elif sql.startswith('SELECT fingerprint'):
            fingerprint = next(iter(self.ledger.values()))
            return [(fingerprint, 2, 7)], ['fingerprint', 'affected_rows', 'last_insert_id']
        elif sql.startswith('SELECT'):
            self._running_selects += 1
            self.max_concurrent_selects = max(self.max_concurrent_selects, self._running_selects)
            await asyncio.sleep(_SELECT_DURATION_S)
            self._running_selects -= 1
            return [(1, 'one', None)], ['number', 'text', 'nothing']
        return None

    def _insert_ledger_row(self, sql: str) -> None:
        if self.ledger is None:
            raise _ScriptedError(1146, 'no such table')
        _, request_id, fingerprint = _LEDGER_VALUES_PATTERN.search(sql).groups()
        if request_id in self.ledger:
            raise _ScriptedError(1062, 'duplicate entry')
        self.ledger[request_id] = fingerprint

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(
            stream=MysqlStream(reader, writer),
            session=_Session(self),
            control=self._mysql_control,
            identity_provider=UncheckedIdentityProvider(),
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
        return await self._target.run_statement(sql)


async def never_respond() -> None:
    """Sleep for longer than any test waits for a response."""
    await asyncio.sleep(60)
