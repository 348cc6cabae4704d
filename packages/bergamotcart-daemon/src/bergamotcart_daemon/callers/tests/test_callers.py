"""Tests that callers receive readable results and correct verdicts."""

import asyncio
import contextlib
import datetime
import decimal
from collections.abc import AsyncIterator

import aiomysql
import pymysql
import pytest

from bergamotcart import entry
from bergamotcart.outcomes import (
    MayHaveRun,
    NotRun,
    Outcome,
    Ran,
    Reason,
    RequestResult,
    TargetError,
)
from bergamotcart_daemon.callers import CallerServer
from bergamotcart_daemon.metrics import Metrics

_QUERY_COMMAND = 0x3
_RESET_CONNECTION_COMMAND = 0x1F


class _Engine:
    """Fake engine that replies to each request with ``outcome``, or not at all if it is ``None``."""

    def __init__(self) -> None:
        self.received: list[object] = []
        self.outcome: Outcome | None = Ran()
        self.server: CallerServer | None = None
        self.port = 0

    def submit(self, received: object) -> None:
        self.received.append(received)
        if isinstance(received, entry.RequestArrived) and self.outcome is not None:
            reply = entry.Reply(received.request_id, self.outcome)
            asyncio.get_running_loop().call_soon(self.server.reply, reply)

    def received_of_type(self, kind: type) -> list[object]:
        return [received for received in self.received if isinstance(received, kind)]

    async def connect(self, **fields: object) -> aiomysql.Connection:
        defaults = {'host': '127.0.0.1', 'port': self.port, 'user': 'desk', 'db': 'tickets'}
        return await aiomysql.connect(autocommit=None, **(defaults | fields))

    async def wait_for_input(self, kind: type) -> object:
        async with asyncio.timeout(5):
            while not self.received_of_type(kind):
                await asyncio.sleep(0.01)
        return self.received_of_type(kind)[0]


@contextlib.asynccontextmanager
async def _run_engine_and_server(address: str) -> AsyncIterator[_Engine]:
    engine = _Engine()
    engine.port = int(address.partition(':')[2])
    server = CallerServer(address, Metrics(dict), engine.submit)
    engine.server = server
    async with server:
        yield engine


async def _reset_connection(connection: aiomysql.Connection) -> None:
    await connection._execute_command(_RESET_CONNECTION_COMMAND, b'')
    await connection._read_ok_packet()


async def _run_statement(connection: aiomysql.Connection, sql: str) -> aiomysql.Cursor:
    cursor = await connection.cursor()
    await cursor.execute(sql)
    return cursor


async def test_rows_keep_types(addresses):
    """Values keep their types, and NULL stays NULL."""
    row = (
        1,
        None,
        'Kigali é',
        b'\xff\x00',
        decimal.Decimal('1.50'),
        1.5,
        datetime.datetime(2026, 2, 3, 4, 5, 6, 7),
        datetime.date(2026, 2, 3),
        -datetime.timedelta(hours=30, seconds=1),
        2**64 - 1,
    )
    columns = tuple(f'column{index}' for index in range(len(row)))

    async with _run_engine_and_server(next(addresses)) as engine:
        engine.outcome = Ran(RequestResult(columns, (row, (None,) * len(row))))
        async with await engine.connect() as connection:
            cursor = await _run_statement(connection, 'SELECT all')
            rows = await cursor.fetchall()
        assert rows == (row, (None,) * len(row))
        assert tuple(column[0] for column in cursor.description) == columns


async def test_counts_belong_to_their_statement(addresses):
    """The counts of a statement are not reported again for the next one, which changed no rows."""

    async with _run_engine_and_server(next(addresses)) as engine:
        engine.outcome = Ran(RequestResult(affected_rows=3, last_insert_id=9))
        async with await engine.connect() as connection:
            cursor = await _run_statement(connection, 'INSERT')
            assert (cursor.rowcount, cursor.lastrowid) == (3, 9)
            engine.outcome = Ran()
            cursor = await _run_statement(connection, 'UPDATE')
            assert (cursor.rowcount, cursor.lastrowid) == (0, 0)


@pytest.mark.parametrize(
    ('outcome', 'code', 'text'),
    [
        (NotRun(Reason.queue_full, retry_after=0.25), 15001, 'verdict=not_run'),
        (MayHaveRun(Reason.connection_lost), 15002, 'verdict=may_have_run'),
        (Ran(None, Reason.recorded), 15003, 'verdict=ran; reason=recorded'),
        (NotRun(Reason.bad_token), 15004, 'reason=bad_token; retry_after=none'),
        (NotRun(Reason.discarded_branch), 15005, 'reason=discarded_branch'),
        (NotRun(Reason.identifier_reused), 15006, 'reason=identifier_reused'),
        (
            NotRun(Reason.target_error, error=TargetError(1054, '42S22', 'no column')),
            1054,
            'no column',
        ),
    ],
)
async def test_outcomes_map_to_error_codes(outcome, code, text, addresses):
    """A wrong verdict would make a caller repeat a statement that already ran."""

    async with _run_engine_and_server(next(addresses)) as engine:
        engine.outcome = outcome
        async with await engine.connect() as connection:
            with pytest.raises(pymysql.MySQLError, match=text) as caught:
                await _run_statement(connection, 'SELECT')
            assert caught.value.args[0] == code
            engine.outcome = Ran()
            await _run_statement(connection, 'the connection still works')


async def test_reset_opens_session_in_current_group(addresses):
    """A session after a reset starts in the current group, not in that of an earlier ``USE``."""

    async with _run_engine_and_server(next(addresses)) as engine:
        async with await engine.connect(password='ignored') as connection:
            await _run_statement(connection, '/* note */ use `members`;')
            await connection.select_db('orders')
            await _reset_connection(connection)
        closed = await engine.wait_for_input(entry.SessionClosed)
        opened = engine.received_of_type(entry.SessionOpened)
        assert [session.group for session in opened] == ['tickets', 'orders']
        assert {session.caller for session in opened} == {'desk'}
        texts = [request.sql for request in engine.received_of_type(entry.RequestArrived)]
        assert texts == ['/* note */ use `members`;', 'USE `orders`']
        assert closed.session_id == opened[0].session_id


async def test_disconnect_during_statement_closes_session_once(addresses):
    """The session of a disconnected caller closes while its statement still runs."""

    async with _run_engine_and_server(next(addresses)) as engine:
        engine.outcome = None
        connection = await engine.connect()
        running = asyncio.ensure_future(_run_statement(connection, 'SELECT SLEEP'))
        request = await engine.wait_for_input(entry.RequestArrived)
        connection.close()
        await engine.wait_for_input(entry.SessionClosed)
        engine.server.reply(entry.Reply(request.request_id, Ran()))
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0.05)
        assert len(engine.received_of_type(entry.SessionClosed)) == 1


async def test_stop_waits_for_unread_response(addresses):
    """A graceful shutdown does not truncate a response that is being sent."""
    rows = tuple((number, 'x' * 1000) for number in range(20_000))
    async with _run_engine_and_server(next(addresses)) as engine:
        connection = await engine.connect()
        engine.outcome = Ran(RequestResult(('number', 'text'), rows))
        await connection._execute_command(_QUERY_COMMAND, 'SELECT many')
        await engine.wait_for_input(entry.RequestArrived)
        stopping = asyncio.ensure_future(engine.server.stop())
        await asyncio.sleep(0.3)
        assert not stopping.done()
        await connection._read_query_result()
        assert len(connection._result.rows) == len(rows)
        connection.close()
        await stopping


async def test_set_names_changes_result_charset(addresses):
    """Text is sent in the caller's character set, with ``?`` for characters that it lacks."""
    async with (
        _run_engine_and_server(next(addresses)) as engine,
        await engine.connect(charset='latin1') as connection,
    ):
        await _run_statement(connection, 'SET NAMES latin1')
        engine.outcome = Ran(RequestResult(('text',), (('é',), ('山',))))
        cursor = await _run_statement(connection, "SELECT 'é'")
        assert await cursor.fetchall() == (('é',), ('?',))
        assert engine.received_of_type(entry.RequestArrived)[-1].sql == "SELECT 'é'"
