"""Client connection of a caller to an entry, over the MySQL protocol."""

import asyncio
import enum
import re
import time
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final
from urllib.parse import quote

import aiomysql
from pymysql.err import MySQLError

from bergamotcart_testkit.addresses import Address

_CONNECT_TIMEOUT_S: Final = 3.0
# Longer than any deadline in the test configuration, so only a hung entry exceeds it.
_ANSWER_TIMEOUT_S: Final = 20.0
_RETRY_AFTER: Final = re.compile(r'retry_after=([0-9.]+)')
_REASON: Final = re.compile(r'reason=(\w+)')
DISCARDED_BRANCH: Final = 15_005
_NO_ERROR_CODE: Final = 0


@enum.unique
class Verdict(enum.StrEnum):
    """Outcome of a request, as reported to the caller."""

    ran = 'ran'
    ran_without_answer = 'ran_without_answer'
    not_run = 'not_run'
    may_have_run = 'may_have_run'
    target_error = 'target_error'


_VERDICTS_BY_CODE: Final = MappingProxyType(
    {
        15_001: Verdict.not_run,
        15_002: Verdict.may_have_run,
        15_003: Verdict.ran_without_answer,
        15_004: Verdict.not_run,
        DISCARDED_BRANCH: Verdict.not_run,
        15_006: Verdict.not_run,
        2006: Verdict.may_have_run,
        2013: Verdict.may_have_run,
        2014: Verdict.may_have_run,
    }
)


class UnreachableError(ConnectionError):
    """The connection to an entry failed, so no statement was sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer to one statement.

    :param started: monotonic clock when the statement was sent, in seconds.
    :param ended: monotonic clock when the answer was complete, in seconds.
    :param code: error number, or 0.
    """

    verdict: Verdict
    started: float
    ended: float
    rows: tuple[tuple[object, ...], ...] = ()
    affected_rows: int = 0
    code: int = 0
    message: str = ''

    @property
    def ran(self) -> bool:
        """Whether the statement ran and its result was received."""
        return self.verdict is Verdict.ran

    @property
    def reason(self) -> str:
        """Reason in the error message of the entry, or the whole message if it has none."""
        match = _REASON.search(self.message)
        return match.group(1) if match else self.message

    @property
    def retry_after(self) -> float:
        """Retry delay that the entry suggested, in seconds, or 0."""
        match = _RETRY_AFTER.search(self.message)
        return float(match.group(1)) if match else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Directives:
    """Directives of one statement, sent in an SQL comment."""

    session: str | None = None
    request: str | None = None
    repeatable: str | None = None
    max_age: str | None = None
    deadline: str | None = None

    def as_comment(self) -> str:
        """Return the comment in sqlcommenter format, or an empty string without directives."""
        named_directives = (
            ('session', self.session),
            ('request', self.request),
            ('repeatable', self.repeatable),
            ('max_age', self.max_age),
            ('deadline', self.deadline),
        )
        pairs = [
            f"{name}='{quote(text, safe='')}'"
            for name, text in named_directives
            if text is not None
        ]
        joined = ','.join(pairs)
        return f' /*{joined}*/' if pairs else ''


NO_DIRECTIVES: Final = Directives()


class Caller:
    """One connection to an entry."""

    def __init__(self, connection: aiomysql.Connection, entry: str) -> None:
        """Wrap an open connection."""
        self.entry = entry
        self._connection = connection

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return not self._connection.closed

    @classmethod
    async def connect(cls, entry: str, address: Address, user: str, group: str) -> 'Caller':
        """Connect to an entry.

        :raises UnreachableError: if no connection can be made.
        """
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                connection = await aiomysql.connect(
                    host=address.host, port=address.port, user=user, db=group, autocommit=True
                )
        except (MySQLError, OSError, EOFError) as error:
            raise UnreachableError(f'cannot connect to {entry} at {address}: {error!r}') from error
        return cls(connection, entry)

    async def execute(self, sql: str, directives: Directives = NO_DIRECTIVES) -> Answer:
        """Send one statement with its directives, and wait for the complete answer."""
        started = time.monotonic()
        text = sql + directives.as_comment()
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await self._run(text, started)
        except MySQLError as error:
            return self._error_answer(error, started)
        except (OSError, EOFError, RuntimeError) as error:
            self.close()
            return _failed_answer(Verdict.may_have_run, started, repr(error))

    async def fetch_token(self) -> str | None:
        """Return the token of the session, or ``None`` if the entry did not return one."""
        answer = await self.execute('SHOW BERGAMOTCART SESSION')
        return str(answer.rows[0][0]) if answer.ran and answer.rows else None

    def close(self) -> None:
        """Close the connection without sending the quit command."""
        self._connection.close()

    async def _run(self, text: str, started: float) -> Answer:
        cursor = await self._connection.cursor()
        await cursor.execute(text)
        rows = await cursor.fetchall()
        return Answer(
            verdict=Verdict.ran,
            started=started,
            ended=time.monotonic(),
            rows=tuple(rows),
            affected_rows=cursor.rowcount,
        )

    def _error_answer(self, error: MySQLError, started: float) -> Answer:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else _NO_ERROR_CODE
        verdict = _VERDICTS_BY_CODE.get(code, Verdict.target_error)
        if code == _NO_ERROR_CODE:
            verdict = Verdict.may_have_run
        if verdict is Verdict.may_have_run and code not in {15_002}:
            self.close()
        return _failed_answer(verdict, started, str(error.args[-1]) if error.args else '', code)


def _failed_answer(verdict: Verdict, started: float, message: str, code: int = 0) -> Answer:
    return Answer(
        verdict=verdict, started=started, ended=time.monotonic(), message=message, code=code
    )
