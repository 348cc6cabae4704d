"""MySQL connection of one caller."""

import contextlib
import re
from typing import Any, Final

from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.errors import MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultSet
from mysql_mimic.types import Capabilities, ServerStatus

from bergamotcart.outcomes import RequestResult
from bergamotcart_daemon.callers._errors import CallerError, build_caller_error
from bergamotcart_daemon.callers._prepared_statements import StatementTemplate
from bergamotcart_daemon.callers._result_sets import build_result_set
from bergamotcart_daemon.callers._session import CallerSession

_USE_STATEMENT: Final = re.compile(
    r'\s*(?:/\*.*?\*/\s*)*USE\s+(?:`([^`]+)`|([^\s;`]+))\s*;?\s*',
    re.IGNORECASE | re.DOTALL,
)
_SET_NAMES_STATEMENT: Final = re.compile(
    r'\s*SET\s+NAMES\s+[\'"]?(\w+)[\'"]?(?:\s+COLLATE\s+[\'"]?\w+[\'"]?)?\s*;?\s*',
    re.IGNORECASE,
)
_NO_ROWS: Final = ResultSet([], [])
_INVALID_CHARACTER_STRING_CODE: Final = 1300
_STATEMENT_ID_BYTES: Final = 4
# Callers send directives in comments, so query attributes are not needed. Without them, the
# payloads of commands have one fixed layout.
_CAPABILITIES: Final = DEFAULT_SERVER_CAPABILITIES & ~Capabilities.CLIENT_QUERY_ATTRIBUTES


class _CommandError(MysqlError):
    """Ends a command with an error packet, or without any response if ``error`` is ``None``."""

    def __init__(self, error: CallerError | None) -> None:
        super().__init__('the statement did not complete')
        self.error = error


class CallerConnection(Connection):
    """Passes the text of statements to the engine and writes its outcomes as responses."""

    session: CallerSession

    def __init__(self, **parameters: Any) -> None:
        """Set the autocommit status flag, so that drivers do not send ``SET autocommit``."""
        self._charset = CharacterSet.utf8mb4
        super().__init__(server_capabilities=_CAPABILITIES, **parameters)
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._next_ok_counts: dict[str, int] = {}
        self._templates: dict[int, StatementTemplate] = {}
        self._busy = False

    @property
    def server_charset(self) -> CharacterSet:
        """Character set of results, which the library reads for each column."""
        return self._charset

    @property
    def busy(self) -> bool:
        """Whether the response to a command of the caller is not yet complete."""
        return self._busy

    async def handle_query(self, data: bytes) -> None:
        """Run a text statement and write its response."""
        await self._run_command(super().handle_query(data))

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Store a prepared statement and report the number of its parameters."""
        sql = self.client_charset.decode(data)
        template = StatementTemplate(sql)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=template.parameter_count,
        )
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()
        # ``StatementTemplate`` inserts the parameters, so the library must not expect any.
        statement.num_params = 0
        self.prepared_stmts[statement.stmt_id] = statement
        self._templates[statement.stmt_id] = template

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement and write its response."""
        statement = self.get_stmt(int.from_bytes(data[:_STATEMENT_ID_BYTES], 'little'))
        template = self._templates[statement.stmt_id]
        statement.sql = template.bind(data, self.client_charset, statement.param_buffers)
        await self._run_command(super().handle_stmt_execute(data))

    async def handle_stmt_close(self, data: bytes) -> None:
        """Remove a prepared statement."""
        await super().handle_stmt_close(data)
        self._templates.pop(int.from_bytes(data[:_STATEMENT_ID_BYTES], 'little'), None)

    async def handle_init_db(self, data: bytes) -> None:
        """Select a group by a ``USE`` statement, which the engine refuses for an unknown group."""
        name = self.client_charset.decode(data).replace('`', '``')
        await self._run_command(self._select_group(name))

    async def handle_change_user(self, data: bytes) -> None:
        """End the session and start a new one for the new user."""
        self.session.end_engine_session()
        with contextlib.ExitStack() as stack:
            stack.callback(self.session.start_engine_session)
            await super().handle_change_user(data)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Start a new session; the end of the old one rolls an open transaction back."""
        self.session.end_engine_session()
        self.session.start_engine_session()
        await super().handle_reset_connection(data)

    async def query(self, sql: str, query_attrs: dict[str, str]) -> ResultSet:
        """Run a statement in the engine.

        :raises MysqlError: if the outcome is an error or the session has ended.
        """
        session_id = self.session.session_id
        if session_id is None:
            raise _CommandError(None)
        outcome = await self.session.handler.execute(session_id, sql)
        if outcome is None:
            raise _CommandError(None)
        error = build_caller_error(outcome)
        if error is not None:
            raise _CommandError(error)
        if outcome.result.columns:
            return build_result_set(outcome.result, self._charset)
        self._apply_session_setting(sql)
        return self._store_counts(outcome.result)

    def ok(self, **fields: Any) -> bytes:
        """Build an OK packet; the first one after a statement has the counts of that statement."""
        counts = self._next_ok_counts
        self._next_ok_counts = {}
        return super().ok(**(counts | fields))

    async def _select_group(self, name: str) -> None:
        await self.query(f'USE `{name}`', {})
        await self.stream.write(self.ok())

    def _apply_session_setting(self, sql: str) -> None:
        """Apply an accepted ``USE`` or ``SET NAMES`` to the state of this connection."""
        use_match = _USE_STATEMENT.fullmatch(sql)
        if use_match is not None:
            self.session.database = use_match.group(1) or use_match.group(2)
            return
        names_match = _SET_NAMES_STATEMENT.fullmatch(sql)
        if names_match is not None and names_match.group(1).lower() in CharacterSet.__members__:
            self._charset = CharacterSet[names_match.group(1).lower()]
            self.session.variables.set('character_set_client', self._charset.name)

    def _store_counts(self, result: RequestResult) -> ResultSet:
        self._next_ok_counts = {
            'affected_rows': result.affected_rows,
            'last_insert_id': result.last_insert_id,
        }
        return _NO_ROWS

    async def _run_command(self, command: Any) -> None:
        self._busy = True
        try:
            await command
        except _CommandError as failure:
            await self._write_error(failure.error)
        except UnicodeDecodeError as error:
            text = f'invalid character string: {error}; verdict=not_run'
            await self._write_error(CallerError(_INVALID_CHARACTER_STRING_CODE, 'HY000', text))
        finally:
            self._busy = False

    async def _write_error(self, error: CallerError | None) -> None:
        if error is not None:
            await self.stream.write(error.encode(self.server_charset.codec))
