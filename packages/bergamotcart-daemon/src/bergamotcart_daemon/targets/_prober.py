"""Probes of one target, on a connection of their own."""

import asyncio
from collections.abc import Callable

from bergamotcart.discovery import TargetKey
from bergamotcart.entry import Probe, ProbeFinished
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import TargetConnection
from bergamotcart_daemon.targets._interfaces import TargetDriver


class Prober:
    """Runs the probes of one target one after the other on one connection.

    :param connect_timeout_s: limit, in seconds, for the probe that follows when the idle
        connection breaks.
    :param submit: takes the result of each probe.
    :ivar last_used: time of the event loop, in seconds, at which the last probe was requested.
    :ivar keeps_connection: whether the connection stays open between probes.
    """

    __slots__ = (
        '_address',
        '_connect_timeout_s',
        '_connection',
        '_driver',
        '_lock',
        '_submit',
        '_target',
        '_tasks',
        'keeps_connection',
        'last_used',
    )

    def __init__(
        self,
        target: TargetKey,
        address: Address,
        connect_timeout_s: float,
        driver: TargetDriver,
        submit: Callable[[ProbeFinished], None],
    ) -> None:
        """Create a prober without a connection."""
        self._target = target
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._driver = driver
        self._submit = submit
        self._connection: TargetConnection | None = None
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_used = 0.0
        self.keeps_connection = True

    @property
    def address(self) -> Address:
        """Address of the target."""
        return self._address

    def start_probe(self, action: Probe) -> None:
        """Run a probe in the background."""
        self.last_used = asyncio.get_running_loop().time()
        self._create_probe_task(action)

    def close(self) -> None:
        """Cancel all probes and close the connection."""
        for task in self._tasks:
            task.cancel()
        self._disconnect()

    def _create_probe_task(self, action: Probe) -> None:
        task = asyncio.get_running_loop().create_task(self._probe(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, action: Probe) -> None:
        async with self._lock:
            # The timeout starts once the lock is held: time spent waiting for another probe
            # says nothing about the target.
            sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(action.timeout_s):
                    connection = await self._connect()
                    sent_at = asyncio.get_running_loop().time()
                    report = await self._driver.probe(connection, action)
            except Exception as error:
                failure = self._driver.classify_probe_error(error)
                self._disconnect()
                self._submit(ProbeFinished(self._target, sent_at, None, failure))
                return
            if not self.keeps_connection:
                self._disconnect()
        self._submit(ProbeFinished(self._target, sent_at, report))

    async def _connect(self) -> TargetConnection:
        if self._connection is None or self._connection.closed:
            self._connection = await self._driver.connect(self._target, self._address, '')
            self._connection.on_connection_lost = self._on_connection_lost
        return self._connection

    def _disconnect(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.on_connection_lost = None
            connection.close()

    def _on_connection_lost(self, connection: TargetConnection) -> None:
        if self._lock.locked() or connection is not self._connection:
            return
        # A target process that ends closes this connection at once. A new probe then shows
        # whether the target is unreachable, long before the next regular probe.
        self._disconnect()
        self._create_probe_task(
            Probe(
                target=self._target,
                address=str(self._address),
                wait_for=None,
                timeout_s=self._connect_timeout_s,
            ),
        )
