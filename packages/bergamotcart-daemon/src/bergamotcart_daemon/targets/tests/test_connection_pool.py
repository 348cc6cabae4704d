"""Tests which unused connections a pool closes."""

import asyncio

from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import TargetConnection
from bergamotcart_daemon.targets._connection_pool import ConnectionPool
from bergamotcart_daemon.targets.tests.simulated_group import VirtualTimeLoop

_IDLE_S = 0.4


class _FakeConnection(TargetConnection):
    """Connection without a peer."""

    def __init__(self) -> None:
        self.on_connection_lost = None
        self._closed = False

    @property
    def usable(self) -> bool:
        return not self._closed

    @property
    def closed(self) -> bool:
        return self._closed

    def close(self) -> None:
        self._closed = True


async def _connect(workspace: str, _: object) -> _FakeConnection:
    return _FakeConnection()


async def _count_kept(kept: int) -> int:
    """Use three connections at once, and return how many stay open."""
    pool = ConnectionPool(Address('127.0.0.1', 1), _connect, lambda count: None)
    pool.change_limit(3, _IDLE_S, kept)
    connections = [await pool.acquire('') for _ in range(3)]
    for connection in connections:
        pool.release(connection)
    await asyncio.sleep(2 * _IDLE_S)
    return sum(used.usable for used in connections)


async def _count_open_after_shorter_idle_time() -> list[int]:
    """Return how many of two unused connections are open before and after it is shortened."""
    pool = ConnectionPool(Address('127.0.0.1', 1), _connect, lambda count: None)
    pool.change_limit(2, 10 * _IDLE_S, 1)
    connections = [await pool.acquire('') for _ in range(2)]
    for connection in connections:
        pool.release(connection)
    await asyncio.sleep(_IDLE_S)
    before = sum(unused.usable for unused in connections)
    pool.change_limit(2, _IDLE_S, 0)
    await asyncio.sleep(2 * _IDLE_S)
    return [before, sum(unused.usable for unused in connections)]


def test_shorter_idle_time_applies_to_unused_connections():
    """Entries without a connection wait for those that others have stopped using."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert runner.run(_count_open_after_shorter_idle_time()) == [2, 0]


def test_kept_connections_stay_open():
    """Unused connections are closed down to the number that the entry keeps."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert [runner.run(_count_kept(kept)) for kept in (0, 1, 2)] == [0, 1, 2]
