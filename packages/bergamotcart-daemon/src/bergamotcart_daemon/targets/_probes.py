"""The connection kept for probes of one target."""

import asyncio
from collections.abc import Callable

from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry import Probe, ProbeFinished
from bergamotcart.messages import Reachability
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.targets import _errors as errors
from bergamotcart_daemon.targets._connection import TargetConnection
from bergamotcart_daemon.targets._dialect import PositionDialect

_MS_PER_SECOND = 1000
# A target that waits for a position must answer before the probe counts as silent.
_WAIT_SHARE = 0.8


class Prober:
    """Runs probes one after the other on one connection.

    :param submit: takes the result of each probe.
    """

    __slots__ = (
        '_address',
        '_connect_timeout_s',
        '_connection',
        '_dialect',
        '_lock',
        '_submit',
        '_target',
        '_tasks',
        'last_used',
    )

    def __init__(
        self,
        target: TargetKey,
        address: Address,
        connect_timeout_s: float,
        dialect: PositionDialect,
        submit: Callable[[ProbeFinished], None],
    ) -> None:
        """Start without a connection."""
        self._target = target
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._dialect = dialect
        self._submit = submit
        self._connection: TargetConnection | None = None
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_used = 0.0

    @property
    def address(self) -> Address:
        """Address of the target."""
        return self._address

    def start(self, action: Probe) -> None:
        """Run a probe in the background."""
        self.last_used = asyncio.get_running_loop().time()
        self._spawn(action)

    def close(self) -> None:
        """Stop all probes and close the connection."""
        for task in self._tasks:
            task.cancel()
        self._disconnect()

    def _spawn(self, action: Probe) -> None:
        task = asyncio.get_running_loop().create_task(self._probe(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, action: Probe) -> None:
        async with self._lock:
            # The time starts here: a probe that had to wait for another one proves nothing
            # about the target.
            sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(action.timeout_s):
                    connection = await self._connect()
                    sent_at = asyncio.get_running_loop().time()
                    report = await self._ask(connection, action)
            except Exception as error:
                failure = _classify(error)
                self._disconnect()
                self._submit(ProbeFinished(self._target, sent_at, None, failure))
                return
        self._submit(ProbeFinished(self._target, sent_at, report))

    async def _ask(self, connection: TargetConnection, action: Probe) -> PositionReport:
        if action.wait_for is None:
            sql = self._dialect.build_position_statement()
        else:
            timeout_ms = round(action.timeout_s * _WAIT_SHARE * _MS_PER_SECOND)
            sql = self._dialect.build_wait_statement(action.wait_for, timeout_ms)
        return self._dialect.parse(await connection.run(sql))

    async def _connect(self) -> TargetConnection:
        if self._connection is None or self._connection.closed:
            self._connection = await TargetConnection.open(
                self._address,
                self._target.group,
                self._connect_timeout_s,
            )
            self._connection.on_broken = self._note_broken
        return self._connection

    def _disconnect(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.on_broken = None
            connection.close()

    def _note_broken(self, connection: TargetConnection) -> None:
        if self._lock.locked() or connection is not self._connection:
            return
        # A target that ended closes this connection at once, and a new attempt shows
        # whether it is gone, long before the next regular probe.
        self._disconnect()
        self._spawn(
            Probe(
                target=self._target,
                address=str(self._address),
                wait_for=None,
                timeout_s=self._connect_timeout_s,
            ),
        )


def _classify(error: Exception) -> Reachability:
    if isinstance(error, errors.ConnectError):
        if error.error is not None:
            return Reachability.reachable
        return Reachability.refusing if error.refused else Reachability.silent
    if isinstance(error, errors.ReportedError):
        return Reachability.reachable
    return Reachability.refusing if errors.is_refusal(error) else Reachability.silent
