"""Tests of the limits on connections in the MySQL protocol."""

import asyncio
import contextlib

import aiomysql
import pytest

from bergamotcart import entry
from bergamotcart.outcomes import Ran
from bergamotcart.resources import DescriptorShares, ResourceLimits
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.callers import CallerServer
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard

_MAX_CALLERS = 4
_LOST_CONNECTION_CODES = frozenset((2006, 2013))
_TIMEOUT_S = 5
# Length and number of a packet whose rest does not follow.
_COMMAND_HEADER = (900_000).to_bytes(4, 'little')


class _Engine:
    """Fake engine that answers all statements."""

    def __init__(self, address):
        self.metrics = Metrics(dict)
        limits = ResourceLimits(memory_mb=100, max_fds=100, message_timeout_s=0.5)
        guard = ResourceGuard.build(limits, DescriptorShares(callers=_MAX_CALLERS), self.metrics)
        self.server = CallerServer(str(address), self.metrics, self.submit, guard)

    def submit(self, received):
        if isinstance(received, entry.RequestArrived):
            reply = entry.Reply(received.request_id, Ran())
            asyncio.get_running_loop().call_soon(self.server.reply, reply)

    def has_counted(self, event):
        return f'event="{event}"' in self.metrics.render('text/plain').body.decode()


@contextlib.asynccontextmanager
async def _run(addresses):
    address = Address.parse(next(addresses))
    engine = _Engine(address)
    async with engine.server:
        yield engine, address


async def _connect(address):
    return await aiomysql.connect(
        host=address.host, port=address.port, user='desk', db='tickets', autocommit=None
    )


async def _run_statement(address, sql):
    async with await _connect(address) as connection:
        cursor = await connection.cursor()
        await cursor.execute(sql)


async def _wait_until_counted(engine, event):
    async with asyncio.timeout(_TIMEOUT_S):
        while not engine.has_counted(event):
            await asyncio.sleep(0.02)


async def test_connection_without_login_gives_way(addresses):
    """Connections that never log in kept all callers out."""
    async with _run(addresses) as (engine, address), contextlib.AsyncExitStack() as stack:
        for _ in range(_MAX_CALLERS):
            _, writer = await asyncio.open_connection(address.host, address.port)
            stack.callback(writer.close)
        await asyncio.sleep(0.1)
        with pytest.raises(aiomysql.OperationalError, match='too many connections'):
            await _connect(address)
        await asyncio.sleep(1)
        await _run_statement(address, 'DO 1')
        assert engine.has_counted('caller_closed_descriptors')


@pytest.mark.parametrize('size', [100, 200_000, 1_000_000])
async def test_command_inside_the_limits_is_served(addresses, size):
    """A command that needs a reservation must not wait for ever."""
    async with _run(addresses) as (_, address):
        for _ in range(4):
            await _run_statement(address, f'DO "{"x" * size}"')


async def test_command_over_the_limit_is_refused(addresses):
    """Commands of any size were held."""
    async with _run(addresses) as (engine, address):
        with pytest.raises(aiomysql.OperationalError) as raised:
            await _run_statement(address, f'DO "{"x" * 2_000_000}"')
        assert raised.value.args[0] in _LOST_CONNECTION_CODES
        assert engine.has_counted('caller_message_too_long')
        await _run_statement(address, 'DO 1')


async def test_command_that_stops_half_way_is_closed(addresses):
    """Such commands were held for ever, and kept others waiting for memory."""
    async with _run(addresses) as (engine, address):
        connection = await _connect(address)
        connection._writer.write(_COMMAND_HEADER)
        await _wait_until_counted(engine, 'caller_message_timeout')
        connection.close()
        await _run_statement(address, f'DO "{"x" * 1_000_000}"')
