"""Simulation of many entries in front of one group whose instances can be saturated.

Engines, executors and connection pools are the real ones; callers, control, instances and time
are simulated.
"""

import asyncio
import bisect
import contextlib
import random
from collections import Counter, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Final

from bergamotcart import entry, messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart.discovery import Position, PositionReport, TargetKey
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.outcomes import ErrorKind, Ran, RequestResult, TargetError
from bergamotcart_daemon.addresses import Address, AddressTranslation
from bergamotcart_daemon.runtime import EngineLoop
from bergamotcart_daemon.targets import ConnectError, Targets, TargetSettings
from bergamotcart_daemon.targets._interfaces import ExecutionRun, TargetConnection, TargetDriver

_ONE_WAY_S: Final = 0.005
_HANDSHAKE_S: Final = 0.012
_REPLICA_LAG_S: Final = 0.09
_STATEMENT_TIMEOUT_S: Final = 0.8
_OPERATION_DEADLINE_S: Final = 4.0
_CONNECT_TIMEOUT_S: Final = 0.5
_SLOTS: Final = 3
_QUEUE_LENGTH: Final = 24
_RETRIES: Final = 2
_RETRY_DELAY_S: Final = 0.2
_PAUSE_S: Final = 0.03
_SETTLE_S: Final = 1.0
_MS_PER_S: Final = 1000
_ZONES: Final = 'abc'
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
            asyncio.get_running_loop().call_later(_ONE_WAY_S, self._leave)

    def _leave(self) -> None:
        self.instance.connections -= 1


class Group:
    """Three instances, the first of which is the primary, with one log."""

    def __init__(self, connection_limit: int) -> None:
        """Create the instances with an empty log."""
        self.connection_limit = connection_limit
        self.instances = {name: Instance(self, name) for name in _ZONES}
        self.commit_times: list[float] = []

    @property
    def primary(self) -> Instance:
        """The primary."""
        return self.instances[_ZONES[0]]

    @property
    def replicas(self) -> list[Instance]:
        """The replicas."""
        return [self.instances[name] for name in _ZONES[1:]]

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
            await asyncio.sleep(_ONE_WAY_S)
            error = await self._run_step(step)
            await asyncio.sleep(_ONE_WAY_S)
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

    async def connect(self, target: TargetKey, address: Address) -> Connection:
        """Open a connection, which occupies a slot."""
        instance = self._group.instances[target.instance]
        instance.counts['connections'] += 1
        await asyncio.sleep(2 * _ONE_WAY_S)
        if instance.connections >= self._group.connection_limit:
            instance.counts['reset'] += 1
            raise ConnectError(refused=False, error=_TOO_MANY)
        connection = Connection(instance)
        handshake = asyncio.ensure_future(instance.occupy_slot(_HANDSHAKE_S))
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
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
        await asyncio.sleep(2 * _ONE_WAY_S)
        is_primary = instance is self._group.primary
        role = messages.TargetRole.primary if is_primary else messages.TargetRole.replica
        return PositionReport(role, 1, instance.position)

    def classify_probe_error(self, error: Exception) -> messages.Reachability:
        """Return that the instance answers unless the probe timed out."""
        if isinstance(error, TimeoutError):
            return messages.Reachability.silent
        return messages.Reachability.reachable


@dataclass
class Outcome:
    """Result of one operation of a caller.

    :param kind: kind of the operation.
    :param started_at: time of its first attempt, in seconds.
    :param took_s: seconds until its success, or ``None`` if it was not served.
    """

    kind: str
    started_at: float
    took_s: float | None


@dataclass
class Entry:
    """One entry with its connections, control as it sees it, and its callers.

    :param replies: futures of the replies to requests, by request.
    """

    name: str
    group: Group
    entry_count: int
    replies: dict[int, asyncio.Future[entry.Reply]] = field(default_factory=dict)
    requests: int = 0
    sessions: int = 0

    def __post_init__(self) -> None:
        """Create the engine and its adapters."""
        number = int(self.name.removeprefix('e'))
        self.zone = f'z{_ZONES[number % len(_ZONES)]}'
        self.engine = entry.EntryEngine(
            entry.EntryConfiguration(
                name=self.name,
                incarnation='1',
                availability_zone=self.zone,
                address=self.name,
                control_members=(('control', 'control'),),
                session_key=b'k' * 16,
                target_expiry_s=60.0,
                targets_announce_to_control=True,
                seed=number,
            )
        )
        self.loop = EngineLoop(self.engine, 0.25)
        settings = TargetSettings(
            translation=AddressTranslation({}),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            driver=Driver(self.group),
        )
        self.targets = Targets(settings, self.loop.submit)
        handlers = {
            Send: self._answer_message,
            entry.Execute: self.targets.execute,
            entry.Probe: self.targets.probe,
            entry.ReleasePin: self.targets.release_pin,
            entry.LimitConnections: self.targets.limit_connections,
            entry.Reply: self._resolve_reply,
        }
        self.loop.set_action_handlers(_IgnoringHandlers(handlers))

    async def run_operation(self, rng: random.Random) -> Outcome:
        """Run one operation as a caller does, with its retries."""
        started_at = asyncio.get_running_loop().time()
        kind, database, statements = _choose_operation(rng)
        for attempt in range(_RETRIES + 1):
            delay_s = await self._run_attempt(database, statements)
            now = asyncio.get_running_loop().time()
            if delay_s is None:
                return Outcome(kind, started_at, now - started_at)
            delay_s *= rng.uniform(1, 2) * 2**attempt
            if attempt == _RETRIES or now + delay_s > started_at + _OPERATION_DEADLINE_S:
                break
            await asyncio.sleep(delay_s)
        return Outcome(kind, started_at, None)

    async def _run_attempt(
        self, database: str, statements: list[tuple[routed.Statement, str]]
    ) -> float | None:
        """Return ``None`` after a success, else the delay before the next attempt in seconds."""
        self.sessions += 1
        session = self.sessions
        self.loop.submit(entry.SessionOpened(session, 'caller', None, database))
        try:
            for statement, text in statements:
                reply = await self._send(session, statement, text)
                if not (isinstance(reply.outcome, Ran) and reply.outcome.error is None):
                    return getattr(reply.outcome, 'retry_after', None) or _RETRY_DELAY_S
                if len(statements) > 1:
                    await asyncio.sleep(_PAUSE_S)
        finally:
            self.loop.submit(entry.SessionClosed(session))
        return None

    async def _send(self, session: int, statement: routed.Statement, text: str) -> entry.Reply:
        self.requests += 1
        reply = asyncio.get_running_loop().create_future()
        self.replies[self.requests] = reply
        self.loop.submit(
            entry.RequestArrived(
                self.requests, session, text, statement=statement, statement_id='q'
            )
        )
        return await reply

    def _resolve_reply(self, action: entry.Reply) -> None:
        self.replies.pop(action.request_id).set_result(action)

    def _answer_message(self, action: Send) -> None:
        if isinstance(action.body, messages.LeaseRequest):
            self._grant_lease(action.body)
        elif isinstance(action.body, messages.RelayPull):
            self._deliver(
                messages.RelayBatch(
                    echo_sent_at=action.body.sent_at,
                    version=1,
                    sightings=tuple(
                        messages.RelayedAnnouncement(
                            announcement=routed.announcement(name, 1, address='127.0.0.1:1'),
                            age_s=0,
                        )
                        for name in _ZONES
                    ),
                )
            )

    def _grant_lease(self, request: messages.LeaseRequest) -> None:
        if not request.applied_index:
            self._deliver(self._build_state())
        position = self.group.primary.position
        self._deliver(
            messages.LeaseGrant(
                echo_sent_at=request.sent_at,
                duration_s=1.0,
                renew_after_s=0.25,
                control_term=1,
                current_index=1,
                reports_version=request.reports_version,
                heads=(
                    messages.PrimaryPosition(
                        group=routed.GROUP,
                        log_term=position.log_term,
                        position=position.position,
                        age_s=0.1,
                    ),
                ),
            )
        )

    def _build_state(self) -> messages.StateUpdate:
        return messages.StateUpdate(
            control_term=1,
            from_index=0,
            to_index=1,
            revision=1,
            entries_limit=1,
            groups=(
                messages.GroupRow(
                    name=routed.GROUP,
                    term=1,
                    phase=messages.GroupPhase.open,
                    primary=_ZONES[0],
                    modified_index=1,
                ),
            ),
            sections=(
                routed.make_routes(
                    *routed.DATABASES,
                    timeout_s=_STATEMENT_TIMEOUT_S,
                    connection_limit=self.group.connection_limit,
                ),
            ),
            entries=tuple(
                messages.EntryRow(
                    name=f'e{number}', incarnation='1', availability_zone='z', address=''
                )
                for number in range(self.entry_count)
            ),
        )

    def _deliver(self, body: messages.Body) -> None:
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='default',
            sender='control',
            incarnation='1',
            sender_address='control',
            recipient=self.name,
            body=body,
        )
        asyncio.get_running_loop().call_later(
            _ONE_WAY_S, self.loop.submit, MessageReceived(envelope)
        )


class _IgnoringHandlers(dict):
    """Handlers of actions; actions that the simulation does not need are ignored."""

    def __missing__(self, action_type: type) -> object:
        return lambda action: None


class Simulation:
    """Runs the callers of all entries and collects the outcomes of their operations.

    :ivar outcomes: outcomes of all operations that have ended.
    """

    def __init__(self, group: Group, entries: list[Entry], seed: int) -> None:
        """Prepare the simulation."""
        self.group = group
        self.outcomes: list[Outcome] = []
        self._entries = entries
        self._random = random.Random(seed)
        self._operations: set[asyncio.Task[None]] = set()

    @property
    def request_count(self) -> int:
        """Number of requests that callers have sent, with those that the entries answer alone."""
        return sum(each.requests for each in self._entries)

    async def run_load(self, operations_per_s: float, duration_s: float) -> None:
        """Start operations at random times for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(operations_per_s))
            operation = asyncio.ensure_future(self._run_operation())
            self._operations.add(operation)
            operation.add_done_callback(self._operations.discard)

    async def finish(self) -> None:
        """Wait for all operations."""
        while self._operations:
            await asyncio.gather(*self._operations)

    def share_served(self, kind: str, start: float, end: float) -> float:
        """Return the share of operations of a kind, begun in a period, that were served.

        :param kind: kind of the operations, or an empty text for all.
        """
        outcomes = [
            outcome
            for outcome in self.outcomes
            if start <= outcome.started_at < end and kind in {'', outcome.kind}
        ]
        served = sum(outcome.took_s is not None for outcome in outcomes)
        return served / len(outcomes)

    async def _run_operation(self) -> None:
        chosen = self._random.choice(self._entries)
        operation_random = random.Random(self._random.random())
        self.outcomes.append(await chosen.run_operation(operation_random))


@contextlib.asynccontextmanager
async def open_simulation(
    entry_count: int, connection_limit: int, seed: int
) -> AsyncIterator[Simulation]:
    """Start all entries, and let them receive their leases."""
    group = Group(connection_limit)
    entries = [Entry(f'e{number}', group, entry_count) for number in range(entry_count)]
    async with contextlib.AsyncExitStack() as stack:
        for each in entries:
            await stack.enter_async_context(each.targets)
            await stack.enter_async_context(each.loop)
        await asyncio.sleep(_SETTLE_S)
        yield Simulation(group, entries, seed)


def _choose_operation(
    rng: random.Random,
) -> tuple[str, str, list[tuple[routed.Statement, str]]]:
    """Return the kind, the database and the statements of an operation."""
    share = rng.random()
    if share < 0.15:
        write = [(routed.WRITE, 'WRITE 6')] if rng.random() < 0.35 else [(routed.READ, 'READ 6')]
        if rng.random() < 0.4:
            body = [(routed.READ, 'READ 6'), (routed.READ, 'READ 6'), *write]
            return 'order', 'strict', [(routed.BEGIN, 'BEGIN'), *body, (routed.COMMIT, 'COMMIT')]
        return 'order', 'strict', write
    if share < 0.3:
        return 'view', 'aged', [(routed.READ, 'READ 30')]
    is_write = rng.random() < 0.12
    return 'report', 'own', [(routed.WRITE, 'WRITE 18') if is_write else (routed.READ, 'READ 18')]
