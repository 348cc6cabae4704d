"""Tests that connections of a pool are used only for the workspace that they belong to."""

import asyncio
import contextlib
from collections.abc import Coroutine

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotcart.outcomes import ErrorKind, TargetError
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import ConnectError, TargetConnection
from bergamotcart_daemon.targets._connection_pool import ConnectionPool
from bergamotcart_daemon.targets.tests.simulated_group import VirtualTimeLoop

_CONNECT_S = 0.01
_WORKSPACES = ('', 'north', 'south')


class _Connection(TargetConnection):
    """Connection without a peer that knows its workspace."""

    def __init__(self, workspace: str) -> None:
        self.on_connection_lost = None
        self.workspace = workspace
        self._closed = False

    @property
    def usable(self) -> bool:
        return not self._closed

    @property
    def closed(self) -> bool:
        return self._closed

    def close(self) -> None:
        self._closed = True


class _Target:
    """Target that accepts a number of connections, and a pool of connections to it."""

    def __init__(self, limit: int, accepted: int = 100) -> None:
        self.connections: list[_Connection] = []
        self.limit = limit
        self.accepted = accepted
        self.pool = ConnectionPool(Address('127.0.0.1', 1), self._connect, lambda count: None)
        self.pool.change_limit(limit)

    @property
    def open_connections(self) -> list[str]:
        """Workspaces of the open connections, oldest first."""
        return [each.workspace for each in self.connections if each.usable]

    async def use(self, workspace: str, duration_s: float = 0.0) -> _Connection:
        connection = await self.pool.acquire(workspace)
        assert connection.workspace == workspace
        await asyncio.sleep(duration_s)
        self.pool.release(connection)
        return connection

    async def _connect(self, workspace: str, _: object) -> _Connection:
        await asyncio.sleep(_CONNECT_S)
        if len(self.open_connections) >= self.accepted:
            busy = TargetError(0, 'TOOMANY', 'full', ErrorKind.busy)
            raise ConnectError(refused=False, error=busy)
        connection = _Connection(workspace)
        self.connections.append(connection)
        return connection


async def _check_reuse() -> None:
    target = _Target(limit=3)
    north = await target.use('north')
    assert target.pool.acquire_idle('south') is None
    assert await target.use('south') is not north
    assert await target.use('north') is north


async def _check_replacement() -> None:
    target = _Target(limit=2)
    for workspace in ('north', 'south', 'north', 'west'):
        await target.use(workspace)
    assert target.open_connections == ['north', 'west']


async def _use_and_record(target: _Target, workspace: str, order: list[str]) -> None:
    await target.use(workspace, 1)
    order.append(workspace)


async def _check_order() -> None:
    target, order = _Target(limit=1), []
    expected = ['north', 'south', 'north', 'north']
    await asyncio.gather(*(_use_and_record(target, workspace, order) for workspace in expected))
    assert order == expected
    assert target.open_connections == ['north']


async def _check_full_target() -> None:
    target = _Target(limit=3, accepted=2)
    await target.use('north')
    await target.use('south')
    with pytest.raises(ConnectError):
        await target.use('west')
    assert target.open_connections == ['south']
    # Another entry takes the place that was given up.
    target.accepted = 1
    await target.use('west')
    assert target.open_connections == ['west']


async def _use_within(
    target: _Target, workspace: str, start_s: float, duration_s: float, limit_s: float
) -> None:
    await asyncio.sleep(start_s)
    with contextlib.suppress(ConnectError, TimeoutError):
        async with asyncio.timeout(limit_s):
            connection = await target.pool.acquire(workspace)
        assert connection.workspace == workspace
        assert len(target.open_connections) <= target.limit
        await asyncio.sleep(duration_s)
        target.pool.release(connection)


async def _check_uses(
    limit: int, accepted: int, uses: list[tuple[str, float, float, float]]
) -> None:
    target = _Target(limit, accepted)
    async with asyncio.timeout(100):
        await asyncio.gather(*(_use_within(target, *each) for each in uses))
    # A lost place would make this wait for ever.
    async with asyncio.timeout(1):
        for workspace in _WORKSPACES * 2:
            with contextlib.suppress(ConnectError):
                await target.use(workspace)


async def _limit_time(check: Coroutine[None, None, None]) -> None:
    async with asyncio.timeout(1000):
        await check


def _run(check: Coroutine[None, None, None]) -> None:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(_limit_time(check))


def test_idle_connection_is_reused_only_for_its_workspace():
    """A statement on a connection of another workspace would be charged to that one."""
    _run(_check_reuse())


def test_least_recently_used_connection_of_others_gives_way():
    """An unused connection of one workspace must not keep another one from being served."""
    _run(_check_replacement())


def test_released_connection_goes_to_the_longest_waiting_task():
    """A workspace must not starve while the connections of another one are always in use."""
    _run(_check_order())


def test_unused_connection_gives_way_at_a_full_target():
    """The target has room for another workspace only if this entry gives up a connection."""
    _run(_check_full_target())


@settings(deadline=None)
@given(
    st.integers(min_value=1, max_value=3),
    st.integers(min_value=1, max_value=4),
    st.lists(
        st.tuples(
            st.sampled_from(_WORKSPACES),
            st.sampled_from([0.0, 0.005, 0.02, 0.3]),
            st.sampled_from([0.0, 0.015, 1.0]),
            st.sampled_from([0.012, 0.4, 100.0]),
        ),
        max_size=15,
    ),
)
def test_every_use_gets_a_connection_of_its_workspace_within_the_limit(limit, accepted, uses):
    """Cancelled waits, refused connections and closed idle ones must not lose a place."""
    _run(_check_uses(limit, accepted, uses))
