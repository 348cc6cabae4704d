"""Connection of one caller."""

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
from bergamotcart_daemon.callers._errors import CallerError, describe_error
from bergamotcart_daemon.callers._prepared import StatementTemplate
from bergamotcart_daemon.callers._results import build_result_set
from bergamotcart_daemon.callers._session import CallerSession

_USE: Final = re.compile(
    r'\s*(?:/\*.*?\*/\s*)*USE\s+(?:`([^`]+)`|([^\s;`]+))\s*;?\s*',
    re.IGNORECASE | re.DOTALL,
)
_SET_NAMES: Final = re.compile(
    r'\s*SET\s+NAMES\s+[\'"]?(\w+)[\'"]?(?:\s+COLLATE\s+[\'"]?\w+[\'"]?)?\s*;?\s*',
    re.IGNORECASE,
)
_NO_ROWS: Final = ResultSet([], [])
_INVALID_STRING: Final = 1300
_IDENTIFIER_BYTES: Final = 4
# Directives come in comments; without query attributes, payloads have one simple form.
_CAPABILITIES: Final = DEFAULT_SERVER_CAPABILITIES & ~Capabilities.CLIENT_QUERY_ATTRIBUTES


class _Refused(MysqlError):
    """Carries an error to the end of a command."""

    def __init__(self, error: CallerError | None) -> None:
        super().__init__('refused')
        self.error = error


class CallerConnection(Connection):
    """Sends raw statements to the engine and writes complete answers."""

    session: CallerSession

    def __init__(self, **parameters: Any) -> None:
        """Announce autocommit, so that drivers need not set it."""
        self._charset = CharacterSet.utf8mb4
        super().__init__(server_capabilities=_CAPABILITIES, **parameters)
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._counts: dict[str, int] = {}
        self._templates: dict[int, StatementTemplate] = {}
        self._busy = False

    @property
    def server_charset(self) -> CharacterSet:
        """Character set of results; the library looks it up for each column."""
        return self._charset

    @property
    def busy(self) -> bool:
        """True while a command of the caller has not been answered completely."""
        return self._busy

    async def handle_query(self, data: bytes) -> None:
        """Answer a text statement."""
        await self._answer(super().handle_query(data))

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Keep a statement and tell the caller the number of its parameters."""
        sql = self.client_charset.decode(data)
        template = StatementTemplate(sql)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=template.parameters,
        )
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()
        # The library sees a statement without parameters; they are filled in before.
        statement.num_params = 0
        self.prepared_stmts[statement.stmt_id] = statement
        self._templates[statement.stmt_id] = template

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer an executed prepared statement."""
        statement = self.get_stmt(int.from_bytes(data[:_IDENTIFIER_BYTES], 'little'))
        template = self._templates[statement.stmt_id]
        statement.sql = template.bind(data, self.client_charset, statement.param_buffers)
        await self._answer(super().handle_stmt_execute(data))

    async def handle_stmt_close(self, data: bytes) -> None:
        """Forget a statement."""
        await super().handle_stmt_close(data)
        self._templates.pop(int.from_bytes(data[:_IDENTIFIER_BYTES], 'little'), None)

    async def handle_init_db(self, data: bytes) -> None:
        """Select a group; the engine refuses one that it does not know."""
        name = self.client_charset.decode(data).replace('`', '``')
        await self._answer(self._select_group(name))

    async def handle_change_user(self, data: bytes) -> None:
        """Give the new user a session of its own."""
        self.session.end()
        with contextlib.ExitStack() as stack:
            stack.callback(self.session.open)
            await super().handle_change_user(data)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Start a new session, so that an open transaction is rolled back."""
        self.session.end()
        self.session.open()
        await super().handle_reset_connection(data)

    async def query(self, sql: str, query_attrs: dict[str, str]) -> ResultSet:
        """Run a statement in the engine.

        :raises MysqlError: if the answer is an error or the caller has left.
        """
        session_id = self.session.session_id
        if session_id is None:
            raise _Refused(None)
        outcome = await self.session.handler.execute(session_id, sql)
        if outcome is None:
            raise _Refused(None)
        error = describe_error(outcome)
        if error is not None:
            raise _Refused(error)
        if outcome.result.columns:
            return build_result_set(outcome.result, self._charset)
        self._note_setting(sql)
        return self._keep_counts(outcome.result)

    def ok(self, **fields: Any) -> bytes:
        """Build an OK packet with the counts of the statement that it answers."""
        counts = self._counts
        self._counts = {}
        return super().ok(**(counts | fields))

    async def _select_group(self, name: str) -> None:
        await self.query(f'USE `{name}`', {})
        await self.stream.write(self.ok())

    def _note_setting(self, sql: str) -> None:
        """Keep what an accepted statement changes on this side of the engine."""
        used = _USE.fullmatch(sql)
        if used is not None:
            self.session.database = used.group(1) or used.group(2)
            return
        named = _SET_NAMES.fullmatch(sql)
        if named is not None and named.group(1).lower() in CharacterSet.__members__:
            self._charset = CharacterSet[named.group(1).lower()]
            self.session.variables.set('character_set_client', self._charset.name)

    def _keep_counts(self, answer: RequestResult) -> ResultSet:
        self._counts = {
            'affected_rows': answer.affected_rows,
            'last_insert_id': answer.last_insert_id,
        }
        return _NO_ROWS

    async def _answer(self, command: Any) -> None:
        self._busy = True
        try:
            await command
        except _Refused as refused:
            await self._write_error(refused.error)
        except UnicodeDecodeError as error:
            text = f'invalid character string: {error}; verdict=not_run'
            await self._write_error(CallerError(_INVALID_STRING, 'HY000', text))
        finally:
            self._busy = False

    async def _write_error(self, error: CallerError | None) -> None:
        if error is not None:
            await self.stream.write(error.encode(self.server_charset.codec))
