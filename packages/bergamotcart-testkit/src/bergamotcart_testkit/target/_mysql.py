"""MySQL server of a stand-in target."""

import asyncio
import logging
import struct
from contextlib import AsyncExitStack, ExitStack
from typing import Final

from mysql_mimic.auth import SimpleIdentityProvider
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import AllowedResult, ResultColumn, ResultSet, infer_type
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bergamotcart_testkit.target._dialect import Statement, StatementKind, parse_statement
from bergamotcart_testkit.target._errors import TOO_MANY_CONNECTIONS, sqlstate
from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._slots import Slots
from bergamotcart_testkit.target._storage import StorageResult
from bergamotcart_testkit.target._transactions import EMPTY_RESULT, Executor

_MILLISECONDS: Final = 1000
_POSITION_COLUMNS: Final = ('role', 'term', 'log_term', 'position')

_logger = logging.getLogger(__name__)


class TargetSession(BaseSession):
    """Executes the statements of one connection, without the parser of mysql-mimic."""

    def __init__(self, instance: Instance, slots: Slots) -> None:
        """Create a session; ``init`` binds it to a connection."""
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.last_result = EMPTY_RESULT
        self._instance = instance
        self._slots = slots
        self._executor: Executor | None = None

    @property
    def status_flags(self) -> ServerStatus:
        """Protocol status flags for autocommit and an open transaction."""
        executor = self._executor
        flags = ServerStatus(0)
        if executor is None or executor.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if executor and executor.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    async def init(self, connection: Connection) -> None:
        """Bind the session to an authenticated connection."""
        user = self.username or ''
        self._executor = Executor(self._instance, self._slots, connection.connection_id, user)

    async def close(self) -> None:
        """Roll back the open transaction of a lost connection."""
        if self._executor:
            self._executor.start_statement()
            self._executor.roll_back('ROLLBACK /* connection closed */')

    async def reset(self) -> None:
        """Roll back the open transaction."""
        if self._executor:
            self._executor.roll_back('ROLLBACK /* connection reset */')

    async def use(self, database: str) -> None:
        """Accept any schema name; an instance holds one group."""
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> AllowedResult:
        """Execute one statement without the parser of mysql-mimic."""
        if self._executor is None:
            raise MysqlError('received a query before the session was bound to a connection')
        self.last_result = EMPTY_RESULT
        with ExitStack() as stack:
            self._executor.start_statement()
            stack.callback(self._executor.end_statement)
            result = await self._execute(self._executor, parse_statement(sql))
        self.last_result = result
        if result.columns:
            return ResultSet(rows=result.rows, columns=_result_columns(result))
        return None

    async def _execute(self, executor: Executor, statement: Statement) -> StorageResult:
        kind = statement.kind
        if kind in {StatementKind.read, StatementKind.locking_read}:
            return await executor.read(statement)
        if kind in {StatementKind.write, StatementKind.unknown}:
            return await executor.write(statement)
        if kind is StatementKind.wait:
            await self._wait_for_position(*statement.arguments)
        if kind in {StatementKind.wait, StatementKind.position}:
            return self._position_row()
        self._execute_transaction_control(executor, statement)
        return EMPTY_RESULT

    def _execute_transaction_control(self, executor: Executor, statement: Statement) -> None:
        if statement.kind is StatementKind.begin:
            executor.begin(statement.text)
        elif statement.kind is StatementKind.commit:
            executor.commit(statement.text)
        elif statement.kind is StatementKind.rollback:
            executor.roll_back(statement.text)
        elif statement.autocommit is not None:
            executor.change_autocommit(statement.autocommit)

    async def _wait_for_position(self, log_term: int, position: int, timeout_ms: int) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / _MILLISECONDS
        while not self._instance.has_position(log_term, position):
            if not await self._instance.log_changed.wait(deadline - loop.time()):
                return

    def _position_row(self) -> StorageResult:
        instance = self._instance
        row = (instance.role.value, instance.term, instance.log_term, instance.position)
        return StorageResult(_POSITION_COLUMNS, [row], 0, 0)


class TargetConnection(Connection):
    """Adds row counts, transaction flags and SQLSTATEs that mysql-mimic leaves out."""

    def ok(self, **kwargs: int) -> bytes:
        """Return an OK packet with the counts of the last statement."""
        self._set_flags()
        result = self.session.last_result
        if not kwargs:
            counts = {
                'affected_rows': result.affected_rows,
                'last_insert_id': result.last_insert_id,
            }
            return super().ok(**counts)
        return super().ok(**kwargs)

    def eof(self, **kwargs: int) -> bytes:
        """Return an EOF packet with the transaction flags."""
        self._set_flags()
        return super().eof(**kwargs)

    def error(self, **kwargs: object) -> bytes:
        """Return an error packet with the SQLSTATE of the error number."""
        code = int(kwargs.get('code', 0) or 1105)
        message = str(kwargs.get('msg', ''))
        header = b''.join((b'\xff', struct.pack('<H', code), b'#', sqlstate(code).encode()))
        return header + message.encode()

    def _set_flags(self) -> None:
        self.status_flags = self.session.status_flags


class MysqlListener:
    """Accepts connections up to the connection limit, each after the connect delay."""

    def __init__(self, instance: Instance, slots: Slots) -> None:
        """Create a listener; ``start`` opens its socket."""
        self._instance = instance
        self._slots = slots
        self._control = LocalControl(server_id=0)
        self._identities = SimpleIdentityProvider()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.open_connections = 0

    async def start(self) -> None:
        """Listen at the address of the settings."""
        address = self._instance.settings.mysql_listen
        self._server = await asyncio.start_server(self._serve, address.host, address.port)

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.open_connections += 1
        try:
            await self._serve_connection(MysqlStream(reader, writer))
        except (OSError, EOFError, MysqlError) as error:
            _logger.debug('client connection closed after an error: %s', error)
        finally:
            self.open_connections -= 1
            writer.close()

    async def _serve_connection(self, stream: MysqlStream) -> None:
        connection = TargetConnection(
            stream=stream,
            session=TargetSession(self._instance, self._slots),
            control=self._control,
            identity_provider=self._identities,
        )
        connection.status_flags = connection.session.status_flags
        tuning = self._instance.tuning
        if self.open_connections > tuning.connections:
            _logger.warning(
                'refused a client connection: all %d allowed connections are open',
                tuning.connections,
            )
            error = connection.error(msg='Too many connections', code=TOO_MANY_CONNECTIONS)
            await stream.write(error)
            return
        await asyncio.sleep(tuning.connect_delay)
        await _run_connection(connection, self._control)


def _result_columns(result: StorageResult) -> list[ResultColumn]:
    """Describe the columns here, since mysql-mimic cannot handle columns of the same name."""
    columns: list[ResultColumn] = []
    for index, name in enumerate(result.columns):
        non_null_values = (row[index] for row in result.rows if row[index] is not None)
        value = next(non_null_values, None)
        column_type = ColumnType.NULL if value is None else infer_type(value)
        columns.append(ResultColumn(name=name, type=column_type))
    return columns


async def _run_connection(connection: Connection, control: LocalControl) -> None:
    async with AsyncExitStack() as stack:
        connection.connection_id = await control.add(connection)
        stack.push_async_callback(control.remove, connection.connection_id)
        await connection.start()
