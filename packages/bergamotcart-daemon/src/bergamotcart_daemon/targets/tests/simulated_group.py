"""Simulated instances of one group, which can be saturated, and the event loop that they run in."""

import asyncio
import bisect
from collections import Counter, deque
from typing import Final

from bergamotcart import entry, messages
from bergamotcart.discovery import Position, PositionReport, TargetKey
from bergamotcart.outcomes import ErrorKind, RequestResult, TargetError
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import ConnectError, TargetConnection
from bergamotcart_daemon.targets._interfaces import ExecutionRun, TargetDriver

ONE_WAY_S: Final = 0.005
CONNECT_TIMEOUT_S: Final = 0.5
# Names of the instances; the first is the primary, and their availability zones end with them.
INSTANCE_NAMES: Final = 'abc'
_HANDSHAKE_S: Final = 0.012
_REPLICA_LAG_S: Final = 0.09
_SLOTS: Final = 3
_QUEUE_LENGTH: Final = 24
_MS_PER_S: Final = 1000
_FULL: Final = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
_TOO_MANY: Final = TargetError(0, 'TOOMANY', 'connection reset', ErrorKind.busy)
_BEHIND: Final = TargetError(0, 'LAGGING', 'behind', ErrorKind.behind)
_READ_ONLY: Final = TargetError(0, 'READONLY', 'replica', ErrorKind.read_only)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self._virtual_now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            if self._scheduled[0].cancelled():
                # The loop removes it, and must not wait for the next timer in real time.
                self.call_soon(lambda: None)
            else:
                self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


class Instance:
    """Instance with slots, a bounded queue and a limit on connections.

    :ivar applied_until: time up to which it has applied commits, in seconds, while it receives no
        further ones; ``None`` if it follows the primary with the usual delay.
    :ivar counts: arrivals of statements and connections, and how many of them were refused.
    """

    def __init__(self, group: 'Group', name: str) -> None:
        """Create an instance without connections."""
        self.name = name
        self.applied_until: float | None = None
        self.connections = 0
        self.counts: Counter[str] = Counter()
        self._group = group
        self._busy = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def position(self) -> Position:
        """Position of the last commit in its log."""
        applied_until = self.applied_until
        if applied_until is None:
            applied_until = asyncio.get_running_loop().time() - _REPLICA_LAG_S
        if self is self._group.primary:
            applied_until = float('inf')
        return self._group.position_before(applied_until)

    async def occupy_slot(self, work_s: float) -> bool:
        """Occupy a slot for some seconds; return false if the queue is full."""
        if self._busy >= _SLOTS:
            if len(self._waiting) >= _QUEUE_LENGTH:
                return False
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._busy += 1
        await asyncio.sleep(work_s)
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._busy -= 1
        return True


class Connection(TargetConnection):
    """Connection to a simulated instance."""

    def __init__(self, instance: Instance) -> None:
        """Count the connection at the instance."""
        self.on_connection_lost = None
        self.instance = instance
        self._closed = False
        instance.connections += 1

    @property
    def usable(self) -> bool:
        """Whether it is open."""
        return not self._closed

    @property
    def closed(self) -> bool:
        """Whether it is closed."""
        return self._closed

    def close(self) -> None:
        """Close it; the instance notices after the time of one way."""
        if not self._closed:
            self._closed = True
            asyncio.get_running_loop().call_later(ONE_WAY_S, self._leave)

    def _leave(self) -> None:
        self.instance.connections -= 1


class Group:
    """Three instances, the first of which is the primary, with one log."""

    def __init__(self, connection_limit: int) -> None:
        """Create the instances with an empty log."""
        self.connection_limit = connection_limit
        self.instances = {name: Instance(self, name) for name in INSTANCE_NAMES}
        self.commit_times: list[float] = []

    @property
    def primary(self) -> Instance:
        """The primary."""
        return self.instances[INSTANCE_NAMES[0]]

    @property
    def replicas(self) -> list[Instance]:
        """The replicas."""
        return [self.instances[name] for name in INSTANCE_NAMES[1:]]

    def position_before(self, time: float) -> Position:
        """Return the position of the last commit up to a time in seconds."""
        return Position(1, bisect.bisect_right(self.commit_times, time) + 1)

    def count(self, name: str) -> int:
        """Return the sum of a counter over all instances."""
        return sum(instance.counts[name] for instance in self.instances.values())


class Run(ExecutionRun):
    """One execution at a simulated instance."""

    def __init__(self, group: Group, action: entry.Execute, connection: Connection) -> None:
        """Prepare the execution."""
        self._group = group
        self._action = action
        self._connection = connection
        pinned = {entry.ConnectionUse.pinned, entry.ConnectionUse.unpin}
        self._in_transaction = action.use in pinned
        self._failed_step: entry.StepKind | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._in_transaction

    async def run(self, deadline: float) -> entry.ExecutionFinished:
        """Run the steps; the instance goes on with a step that nobody waits for."""
        task = asyncio.ensure_future(self._run_steps())
        try:
            async with asyncio.timeout_at(deadline):
                error = await asyncio.shield(task)
        except TimeoutError:
            self._connection.close()
            return self._finish(entry.ExecutionStatus.lost)
        if error is not None:
            return self._finish(entry.ExecutionStatus.target_error, error)
        return self._finish(entry.ExecutionStatus.completed)

    async def _run_steps(self) -> TargetError | None:
        for step in self._action.steps:
            self._failed_step = step.kind
            await asyncio.sleep(ONE_WAY_S)
            error = await self._run_step(step)
            await asyncio.sleep(ONE_WAY_S)
            if error is not None:
                return error
        self._failed_step = None
        return None

    async def _run_step(self, step: entry.Step) -> TargetError | None:
        instance = self._connection.instance
        if step.floor is not None and instance.position < step.floor:
            instance.counts['behind'] += 1
            return _BEHIND
        if step.kind is entry.StepKind.begin:
            self._in_transaction = True
            return None
        if step.kind is entry.StepKind.rollback:
            self._in_transaction = False
            return None
        verb, _, work_ms = step.sql.partition(' ')
        is_write = verb == 'WRITE' or step.kind is entry.StepKind.commit
        if verb == 'WRITE' and instance is not self._group.primary:
            return _READ_ONLY
        instance.counts['statements'] += 1
        if not await instance.occupy_slot(float(work_ms or 1) / _MS_PER_S):
            instance.counts['refused'] += 1
            return _FULL
        if step.kind is entry.StepKind.commit:
            self._in_transaction = False
        if is_write and not self._in_transaction and instance is self._group.primary:
            self._group.commit_times.append(asyncio.get_running_loop().time())
        return None

    def _finish(
        self, status: entry.ExecutionStatus, error: TargetError | None = None
    ) -> entry.ExecutionFinished:
        completed = status is entry.ExecutionStatus.completed
        lost = status is entry.ExecutionStatus.lost
        return entry.ExecutionFinished(
            execution_id=self._action.execution_id,
            status=status,
            result=RequestResult(signature='signature') if completed else None,
            failed_step=self._failed_step,
            error=error,
            connection_clean=self._connection.usable and not self._in_transaction,
            is_transaction_open=error is not None and self._in_transaction,
            position=None if lost else self._connection.instance.position,
        )


class Driver(TargetDriver):
    """Opens connections to the instances of a group."""

    def __init__(self, group: Group) -> None:
        """Store the group."""
        self._group = group

    async def connect(
        self,
        target: TargetKey,
        address: Address,
        workspace: str,
        first: entry.Execute | None = None,
    ) -> Connection:
        """Open a connection, which occupies a slot."""
        instance = self._group.instances[target.instance]
        instance.counts['connections'] += 1
        await asyncio.sleep(2 * ONE_WAY_S)
        if instance.connections >= self._group.connection_limit:
            instance.counts['reset'] += 1
            raise ConnectError(refused=False, error=_TOO_MANY)
        connection = Connection(instance)
        handshake = asyncio.ensure_future(instance.occupy_slot(_HANDSHAKE_S))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                is_accepted = await asyncio.shield(handshake)
        except TimeoutError as error:
            connection.close()
            raise ConnectError(refused=False) from error
        if not is_accepted:
            connection.close()
            raise ConnectError(refused=False, error=_FULL)
        return connection

    def prepare_execution(self, action: entry.Execute, connection: Connection) -> Run:
        """Prepare an execution."""
        return Run(self._group, action, connection)

    async def probe(self, connection: Connection, action: entry.Probe) -> PositionReport:
        """Return the role and position of the instance."""
        instance = connection.instance
        await asyncio.sleep(2 * ONE_WAY_S)
        is_primary = instance is self._group.primary
        role = messages.TargetRole.primary if is_primary else messages.TargetRole.replica
        return PositionReport(role, 1, instance.position)

    def classify_probe_error(self, error: Exception) -> messages.Reachability:
        """Return that the instance answers unless the probe timed out."""
        if isinstance(error, TimeoutError):
            return messages.Reachability.silent
        return messages.Reachability.reachable
