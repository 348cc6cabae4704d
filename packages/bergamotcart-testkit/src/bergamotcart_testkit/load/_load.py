"""Mixed load of concurrent sessions."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from types import MappingProxyType
from typing import Final

from bergamotcart_testkit.deployment import Deployment, EntryPlan, wait_until
from bergamotcart_testkit.load import _schema as schema
from bergamotcart_testkit.load._caller import Caller, UnreachableError
from bergamotcart_testkit.load._operations import Journal, Operation
from bergamotcart_testkit.load._session import Session, SessionSettings

_STOP_GRACE_S: Final = 15.0
_MIN_BACKOFF_S: Final = 0.05
# Share of acknowledged writes after which a session fetches its token, and of acknowledged orders
# that are repeated.
_REPEAT_SHARE: Final = 0.4
# Share of orders that are sent twice at the same time.
_CONCURRENT_SHARE: Final = 0.3
# Share of failed requests after which a session reconnects. Otherwise a caller that is connected
# to an isolated entry would never reach the entries that still serve its group.
_RECONNECT_SHARE: Final = 0.5

# Relative frequencies of the steps of a session.
MIXED_WEIGHTS: Final[Mapping[str, int]] = MappingProxyType(
    {
        'write': 25,
        'read_own': 20,
        'read_other': 10,
        'read_aged': 10,
        'order': 15,
        'transaction': 8,
        'read_pair': 8,
        'move': 4,
    }
)
MOSTLY_READ_WEIGHTS: Final[Mapping[str, int]] = MappingProxyType(
    {
        'write': 7,
        'read_own': 50,
        'read_other': 20,
        'read_aged': 20,
        'order': 2,
        'transaction': 1,
        'move': 1,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """Settings of a load.

    :param sessions: sessions for each group.
    :param pause: maximum pause between two requests of a session, in seconds.
    :param weights: relative frequency of each step.
    :param entries: entries to use, or empty for all.
    """

    seed: int
    sessions: int = 6
    pause: float = 0.05
    weights: Mapping[str, int] = field(default_factory=lambda: MIXED_WEIGHTS)
    entries: Sequence[EntryPlan] = ()
    user: str = 'desk'


Step = Callable[['Load', Session], Awaitable[Operation | None]]


class Load:
    """Runs sessions until it is closed; use it as an asynchronous context manager."""

    _load_numbers = itertools.count(1)

    def __init__(
        self, deployment: Deployment, settings: LoadSettings, journal: Journal | None = None
    ) -> None:
        """Create the sessions.

        :param journal: journal that several loads share, or ``None`` for one of its own.
        """
        self.journal = journal or Journal()
        self._settings = settings
        self._entries = tuple(settings.entries) or tuple(deployment.plan.entries)
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._number = next(self._load_numbers)
        self.sessions = [
            Session(self._session_settings(group, number), self.journal)
            for group in deployment.layout.groups
            for number in range(settings.sessions)
        ]

    async def __aenter__(self) -> 'Load':
        """Create the tables and the rows, and start all sessions."""
        await self.create_rows_of(self.sessions)
        self._tasks = [asyncio.create_task(self._run(session)) for session in self.sessions]
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Let each session finish its request, then close it."""
        await self.stop()

    async def stop(self) -> None:
        """Stop all sessions and close their connections."""
        self._stopping.set()
        if self._tasks:
            _, unfinished = await asyncio.wait(self._tasks, timeout=_STOP_GRACE_S)
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self.sessions:
            await session.close()

    async def wait_for_acknowledged_writes(self, count: int, group: str) -> None:
        """Wait until ``count`` more writes to a group have been acknowledged."""
        required_count = self.journal.count_acknowledged_writes(group) + count
        description = f'{count} more acknowledged writes to {group}'
        await wait_until(partial(self._has_acknowledged_writes, group, required_count), description)

    async def create_rows_of(self, sessions: Sequence[Session]) -> None:
        """Create the tables, and the rows of some sessions."""
        groups: dict[str, list[str]] = {}
        for session in sessions:
            statements = groups.setdefault(session.settings.group, list(schema.TABLES))
            statements.extend(schema.session_row_inserts(session.name))
        async with asyncio.TaskGroup() as tasks:
            for group, statements in groups.items():
                tasks.create_task(run_setup_statements(self._entries, group, statements))

    def _session_settings(self, group: str, number: int) -> SessionSettings:
        return SessionSettings(
            name=f'load{self._number}-{group}-{number}',
            group=group,
            user=self._settings.user,
            entries=self._entries,
            seed=self._settings.seed,
        )

    async def _has_acknowledged_writes(self, group: str, count: int) -> bool:
        return self.journal.count_acknowledged_writes(group) >= count

    async def _run(self, session: Session) -> None:
        settings = self._settings
        names = list(settings.weights)
        weights = list(settings.weights.values())
        while not self._stopping.is_set():
            step_names = session.generator.choices(names, weights)
            operation = await self._steps[step_names[0]](self, session)
            if operation and not operation.answer.ran:
                await _back_off(session, operation)
            await asyncio.sleep(settings.pause * session.generator.random())

    async def _write(self, session: Session) -> Operation:
        operation = await session.write_register()
        if operation.is_acknowledged_write and session.generator.random() < _REPEAT_SHARE:
            await session.store_token(await session.connect())
        return operation

    async def _read_own(self, session: Session) -> Operation:
        return await session.read_own()

    async def _read_other(self, session: Session) -> Operation:
        return await session.read_other(self._random_session_name(session))

    async def _read_aged(self, session: Session) -> Operation:
        return await session.read_aged(self._random_session_name(session))

    async def _insert_order(self, session: Session) -> Operation | None:
        """Insert an order; often repeat the request, also concurrently through another entry."""
        generator = session.generator
        request = f'{session.name}.order{len(self.journal.operations)}'
        entry = generator.choice(self._entries)
        if generator.random() < _CONCURRENT_SHARE:
            repeat = asyncio.create_task(session.repeat_order(request, entry))
            operation = await session.insert_order(request)
            await repeat
            return operation
        operation = await session.insert_order(request)
        if not operation.is_acknowledged_write or generator.random() < _REPEAT_SHARE:
            return await session.repeat_order(request, entry)
        return operation

    async def _write_pair(self, session: Session) -> Operation:
        return await session.write_pair()

    async def _read_pair(self, session: Session) -> Operation:
        return await session.read_pair(self._random_session_name(session))

    async def _reconnect(self, session: Session) -> None:
        await session.reconnect()

    def _random_session_name(self, session: Session) -> str:
        group = session.settings.group
        names = [other.name for other in self.sessions if other.settings.group == group]
        return session.generator.choice(names)

    _steps: Mapping[str, Step] = MappingProxyType(
        {
            'write': _write,
            'read_own': _read_own,
            'read_other': _read_other,
            'read_aged': _read_aged,
            'order': _insert_order,
            'transaction': _write_pair,
            'read_pair': _read_pair,
            'move': _reconnect,
        }
    )


async def _back_off(session: Session, operation: Operation) -> None:
    """Wait for the retry delay, then close the connection in a share of the cases.

    The next request then goes to a random entry, as behind a load balancer.
    """
    await asyncio.sleep(max(operation.answer.retry_after, _MIN_BACKOFF_S))
    if session.generator.random() < _RECONNECT_SHARE:
        await session.close()


async def run_setup_statements(
    entries: Sequence[EntryPlan], group: str, statements: Sequence[str]
) -> None:
    """Run idempotent statements, each at one entry after the other until it has run."""
    entry_cycle = itertools.cycle(entries)
    for sql in statements:
        await wait_until(
            partial(_try_statement, entry_cycle, group, sql),
            f'setup statement has run in {group}: {sql}',
        )


async def _try_statement(entry_cycle: Iterator[EntryPlan], group: str, sql: str) -> bool:
    entry = next(entry_cycle)
    try:
        caller = await Caller.connect(entry.name, entry.callers, 'setup', group)
    except UnreachableError:
        return False
    answer = await caller.execute(sql)
    caller.close()
    return answer.ran
