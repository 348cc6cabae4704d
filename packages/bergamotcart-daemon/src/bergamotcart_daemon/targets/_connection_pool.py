"""Pool of connections to one target."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import msgspec

from bergamotcart.entry import Execute
from bergamotcart.outcomes import ErrorKind
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import ConnectError, TargetConnection


class _Waiter(msgspec.Struct, frozen=True, eq=False):
    """A task that waits for a connection of a workspace.

    :param grant: a connection of that workspace, or ``None`` if the task may open one, which is
        counted as reserved.
    """

    workspace: str
    grant: asyncio.Future[TargetConnection | None]


class ConnectionPool:
    """Opens at most ``limit`` connections, and reuses the most recently released one first.

    Each connection belongs to one workspace for its whole life. At the limit, the least recently
    used idle connection of another workspace is closed to open one.

    :param on_count_change: called with the number of connections, including those being opened,
        after one was opened or closed.
    """

    __slots__ = (
        '_address',
        '_connect',
        '_idle',
        '_idle_timeout_s',
        '_is_target_full',
        '_kept',
        '_limit',
        '_on_count_change',
        '_open',
        '_reserved_count',
        '_release_counts',
        '_waiters',
    )

    def __init__(
        self,
        address: Address,
        connect: Callable[[str, Execute | None], Awaitable[TargetConnection]],
        on_count_change: Callable[[int], None],
    ) -> None:
        """Create a pool without connections.

        :param connect: opens a connection for the workspace with a name, which is empty for none,
            and for the first execution on it; raises ``ConnectError`` if that fails.
        """
        self._address = address
        self._connect = connect
        self._on_count_change = on_count_change
        # The quota of each entry is at least one connection, so one is allowed before the engine
        # sets a limit.
        self._limit = 1
        self._idle_timeout_s: float | None = None
        self._kept = 0
        # Names of the workspaces by open connection.
        self._open: dict[TargetConnection, str] = {}
        # Least recently used first; empty while others wait.
        self._idle: list[TargetConnection] = []
        # Whether the target refused the last connection because it accepts no further ones.
        self._is_target_full = False
        self._reserved_count = 0
        self._release_counts: dict[TargetConnection, int] = {}
        self._waiters: collections.deque[_Waiter] = collections.deque()

    @property
    def address(self) -> Address:
        """Address of the target."""
        return self._address

    def change_limit(self, limit: int, idle_timeout_s: float | None = None, kept: int = 0) -> None:
        """Change the limit of connections; idle ones above the limit are closed at once.

        :param idle_timeout_s: seconds after which an idle connection is closed, or ``None`` to
            keep it open.
        :param kept: number of connections that stay open although they are idle.
        """
        is_closing_sooner = kept < self._kept or _is_shorter(idle_timeout_s, self._idle_timeout_s)
        self._limit = limit
        self._idle_timeout_s = idle_timeout_s
        self._kept = kept
        if is_closing_sooner:
            for connection in self._idle:
                self._close_later(connection)
        while self._idle and self._connection_count > limit:
            self.discard(self._idle[0])
        self._grant_reservations()

    def acquire_idle(self, workspace: str) -> TargetConnection | None:
        """Return an idle connection, or ``None`` if there is none or others wait for one."""
        if self._waiters:
            return None
        for connection in reversed(self._idle):
            if self._open[connection] == workspace:
                self._idle.remove(connection)
                return connection
        return None

    async def acquire(self, workspace: str, first: Execute | None = None) -> TargetConnection:
        """Return a connection for exclusive use, waiting for one if necessary.

        :param workspace: name of the workspace that the connection must belong to.
        :param first: execution that a new connection is opened for.
        :raises ConnectError: if a new connection cannot be opened.
        """
        idle = self.acquire_idle(workspace)
        if idle is not None:
            return idle
        if not self._waiters:
            is_full = self._is_target_full or self._connection_count >= self._limit
            if is_full and self._idle:
                self.discard(self._idle[0])
            if self._connection_count < self._limit:
                self._reserved_count += 1
                return await self._open_connection(workspace, first)
        connection = await self._wait_for_grant(workspace)
        return connection or await self._open_connection(workspace, first)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection without an open transaction to the pool.

        It is closed if it is broken or the pool is above its limit.
        """
        if connection not in self._open:
            return
        if not connection.usable or self._connection_count > self._limit:
            self.discard(connection)
            return
        connection.on_connection_lost = self._on_connection_lost
        # The longest waiting task gets the connection directly, so that a later one cannot
        # acquire it first.
        waiter = self._pop_waiter()
        if waiter is None:
            self._idle.append(connection)
            self._release_counts[connection] = self._release_counts.get(connection, 0) + 1
            self._close_later(connection)
        elif waiter.workspace == self._open[connection]:
            waiter.grant.set_result(connection)
        else:
            self._waiters.appendleft(waiter)
            # Its place goes to that task, which must not starve while other workspaces are busy.
            self.discard(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection and remove it from the pool."""
        connection.on_connection_lost = None
        connection.close()
        if connection not in self._open:
            return
        self._open.pop(connection)
        self._release_counts.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_count_change(self._connection_count)
        self._grant_reservations()

    def close(self) -> None:
        """Close all connections, including those in use."""
        self._limit = 0
        for connection in tuple(self._open):
            self.discard(connection)

    @property
    def _connection_count(self) -> int:
        return len(self._open) + self._reserved_count

    def _close_later(self, connection: TargetConnection) -> None:
        """Close an idle connection after the idle timeout unless it is used before."""
        if self._idle_timeout_s is not None:
            asyncio.get_running_loop().call_later(
                self._idle_timeout_s,
                self._close_if_unused,
                connection,
                self._release_counts.get(connection),
            )

    def _close_if_unused(self, connection: TargetConnection, release_count: int | None) -> None:
        """Close a connection that has stayed idle since its release number ``release_count``."""
        is_unused = self._release_counts.get(connection) == release_count
        if is_unused and connection in self._idle and self._connection_count > self._kept:
            self.discard(connection)

    async def _open_connection(self, workspace: str, first: Execute | None) -> TargetConnection:
        # This connection is already counted in ``_reserved_count``.
        try:
            connection = await self._connect(workspace, first)
        except BaseException as error:
            self._reserved_count -= 1
            if isinstance(error, ConnectError):
                self._make_room(workspace, error)
            self._grant_reservations()
            raise
        self._reserved_count -= 1
        self._is_target_full = False
        self._open[connection] = workspace
        connection.on_connection_lost = self._on_connection_lost
        self._on_count_change(self._connection_count)
        return connection

    def _on_connection_lost(self, connection: TargetConnection) -> None:
        # A connection in use reports the failure to the execution that runs on it.
        if connection in self._idle:
            self.discard(connection)

    def _make_room(self, workspace: str, error: ConnectError) -> None:
        """Close an idle connection of another workspace if the target accepts no further ones."""
        self._is_target_full = error.error is not None and error.error.kind is ErrorKind.busy
        if not self._is_target_full:
            return
        others = [unused for unused in self._idle if self._open[unused] != workspace]
        if others:
            self.discard(others[0])

    async def _wait_for_grant(self, workspace: str) -> TargetConnection | None:
        waiter = _Waiter(workspace, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            return await waiter.grant
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise

    def _cancel_wait(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.grant.done() and not waiter.grant.cancelled():
            self._return_grant(waiter.grant.result())

    def _return_grant(self, connection: TargetConnection | None) -> None:
        if connection is None:
            self._reserved_count -= 1
            self._grant_reservations()
        else:
            self.release(connection)

    def _grant_reservations(self) -> None:
        while self._connection_count < self._limit:
            waiter = self._pop_waiter()
            if waiter is None:
                return
            self._reserved_count += 1
            waiter.grant.set_result(None)

    def _pop_waiter(self) -> _Waiter | None:
        # A cancelled waiter stays in the queue until its task runs again.
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.grant.done():
                return waiter
        return None


def _is_shorter(timeout_s: float | None, former_timeout_s: float | None) -> bool:
    """Tell whether a timeout ends sooner than a former one; ``None`` never ends."""
    if timeout_s is None:
        return False
    return former_timeout_s is None or timeout_s < former_timeout_s
