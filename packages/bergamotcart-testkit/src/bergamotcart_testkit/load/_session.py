"""Session of a caller that reconnects to different entries."""

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Final

from bergamotcart_testkit.deployment import EntryPlan
from bergamotcart_testkit.load import _schema as schema
from bergamotcart_testkit.load._caller import (
    DISCARDED_BRANCH,
    NO_DIRECTIVES,
    Answer,
    Caller,
    Directives,
    UnreachableError,
    Verdict,
)
from bergamotcart_testkit.load._operations import Journal, Operation, OperationKind

MAX_AGE_S: Final = 5.0
_RECONNECT_PAUSE_S: Final = 0.02
_FIRST_MARK: Final = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionSettings:
    """Identity of a session.

    :param entries: entries that the session may use, in no particular order.
    :param user: MySQL user name of the caller.
    """

    name: str
    group: str
    user: str
    entries: Sequence[EntryPlan]
    seed: int

    def with_entries(self, entries: Sequence[EntryPlan]) -> 'SessionSettings':
        """Return the settings of the same session with other entries."""
        return replace(self, entries=entries)


class Session:
    """Sends requests, tracks the versions that reads must return, and checks each answer.

    :ivar floor: minimum version of its own register that the current connection must return.
    """

    def __init__(self, settings: SessionSettings, journal: Journal) -> None:
        """Create a session without a connection."""
        self.settings = settings
        self.name = settings.name
        self.floor = 0
        self.journal = journal
        self.generator = random.Random(f'{settings.seed}:{settings.name}')
        self._caller: Caller | None = None
        self._connected_at_s = 0.0
        self._token: str | None = None
        self._token_floor = 0
        self._version = 0
        self._mark_numbers = itertools.count(_FIRST_MARK)

    async def close(self) -> None:
        """Close the connection."""
        if self._caller:
            self._caller.close()

    async def connect(self, entry: EntryPlan | None = None) -> Caller:
        """Return the open connection, or open one to the given or a random entry."""
        while entry or self._caller is None or not self._caller.is_open:
            chosen = entry or self.generator.choice(self.settings.entries)
            entry = None
            await self._open_connection(chosen)
        return self._caller

    async def reconnect(self, entry: EntryPlan | None = None) -> None:
        """Reconnect to the given or a random entry with the token of the session."""
        caller = await self.connect()
        await self.store_token(caller)
        caller.close()
        await self.connect(entry or self.generator.choice(self.settings.entries))

    async def store_token(self, caller: Caller) -> None:
        """Fetch and store the session token, which covers all writes acknowledged so far."""
        floor = self.floor
        token = await caller.fetch_token()
        if token:
            self._token = token
            self._token_floor = floor

    async def write_register(self, directives: Directives = NO_DIRECTIVES) -> Operation:
        """Write the next version of the session's own register."""
        caller = await self.connect()
        self._version += 1
        version, mark = self._version, self._new_mark()
        sql = schema.register_update(self.name, version, mark)
        answer = await self._execute(caller, sql, directives)
        if answer.ran or answer.verdict is Verdict.ran_without_answer:
            self.floor = max(self.floor, version)
        check_failure = ''
        if answer.ran and answer.affected_rows != 1:
            check_failure = f'update of one row affected {answer.affected_rows} rows'
        return self._add_operation(
            OperationKind.register_write, caller, mark, self.name, version, answer, check_failure
        )

    async def read_own(self) -> Operation:
        """Read the session's own register, which must have the acknowledged version."""
        return await self._read(OperationKind.own_read, self.name, NO_DIRECTIVES)

    async def read_other(self, key: str) -> Operation:
        """Read another register; it must include writes acknowledged before connecting."""
        return await self._read(OperationKind.other_read, key, NO_DIRECTIVES)

    async def read_aged(self, key: str) -> Operation:
        """Read another register, which may be up to ``MAX_AGE_S`` old."""
        return await self._read(OperationKind.aged_read, key, Directives(max_age=f'{MAX_AGE_S:g}s'))

    async def insert_order(self, request: str | None = None) -> Operation:
        """Insert a row with a request identifier; the insert must run at most once."""
        caller = await self.connect()
        return await self._send_order(caller, request or self._new_mark())

    async def repeat_order(self, request: str, entry: EntryPlan) -> Operation | None:
        """Send a request again through an entry, on a separate connection.

        :returns: the operation, or ``None`` if the entry accepted no connection.
        """
        settings = self.settings
        try:
            caller = await Caller.connect(entry.name, entry.callers, settings.user, settings.group)
        except UnreachableError:
            return None
        async with AsyncExitStack() as stack:
            stack.callback(caller.close)
            return await self._send_order(caller, request)

    async def write_pair(self) -> Operation:
        """Write both halves of a pair in one transaction."""
        caller = await self.connect()
        mark = self._new_mark()
        statements = (
            'BEGIN',
            schema.half_update('left', self.name, mark),
            schema.half_update('right', self.name, mark),
        )
        answer = await self._execute(caller, statements[0], NO_DIRECTIVES)
        for sql in statements[1:]:
            if answer.ran:
                answer = await caller.execute(sql)
        if answer.ran:
            answer = await caller.execute('COMMIT')
        elif answer.verdict is not Verdict.not_run:
            # Without COMMIT nothing is committed, whether or not a single statement ran.
            answer = _not_run_answer(answer)
        if not answer.ran:
            caller.close()
        return self._add_operation(OperationKind.transaction, caller, mark, self.name, 0, answer)

    async def read_pair(self, key: str) -> Operation:
        """Read both halves of a pair, which must be equal."""
        caller = await self.connect()
        mark = self._new_mark()
        answer = await self._execute(caller, schema.pair_select(key, mark), NO_DIRECTIVES)
        check_failure = _check_pair(answer, mark) if answer.ran else ''
        return self._add_operation(
            OperationKind.pair_read, caller, mark, key, 0, answer, check_failure
        )

    async def _send_order(self, caller: Caller, request: str) -> Operation:
        sql = schema.order_insert(request, self.name)
        directives = Directives(request=request, repeatable='no')
        answer = await self._execute(caller, sql, directives)
        return self._add_operation(OperationKind.order, caller, request, request, 0, answer)

    async def _read(self, kind: OperationKind, key: str, directives: Directives) -> Operation:
        caller = await self.connect()
        mark = self._new_mark()
        min_version = self._min_version(kind, key)
        answer = await self._execute(caller, schema.register_select(key, mark), directives)
        check_failure = _check_read(answer, mark, key, min_version) if answer.ran else ''
        return self._add_operation(kind, caller, mark, key, min_version, answer, check_failure)

    def _min_version(self, kind: OperationKind, key: str) -> int:
        if key == self.name:
            return self.floor
        if kind is OperationKind.aged_read:
            return self.journal.acknowledged_version(key, time.monotonic() - MAX_AGE_S)
        if self._connected_at_s:
            return self.journal.acknowledged_version(key, self._connected_at_s)
        return 0

    async def _open_connection(self, entry: EntryPlan) -> None:
        if self._caller:
            self._caller.close()
        started = time.monotonic()
        try:
            self._caller = await Caller.connect(
                entry.name, entry.callers, self.settings.user, self.settings.group
            )
        except UnreachableError:
            self._caller = None
            await asyncio.sleep(_RECONNECT_PAUSE_S)
            return
        # Without a token, a session must see all writes acknowledged before it connected; with a
        # token, all writes that the token covers.
        if self._token:
            self.floor = self._token_floor
            self._connected_at_s = 0.0
            await self._send_token(self._caller)
        else:
            self._connected_at_s = started
            self.floor = self.journal.acknowledged_version(self.name, started)

    async def _send_token(self, caller: Caller) -> None:
        answer = await caller.execute('SELECT 1', Directives(session=self._token))
        if answer.ran:
            return
        if answer.code == DISCARDED_BRANCH:
            self._token = None
        caller.close()
        await asyncio.sleep(_RECONNECT_PAUSE_S)

    async def _execute(self, caller: Caller, sql: str, directives: Directives) -> Answer:
        answer = await caller.execute(sql, directives)
        if answer.code == DISCARDED_BRANCH:
            self._token = None
            caller.close()
        return answer

    def _new_mark(self) -> str:
        return f'{self.name}.{next(self._mark_numbers)}'

    def _add_operation(
        self,
        kind: OperationKind,
        caller: Caller,
        mark: str,
        key: str,
        version: int,
        answer: Answer,
        check_failure: str = '',
    ) -> Operation:
        operation = Operation(
            kind=kind,
            session=self.name,
            group=self.settings.group,
            entry=caller.entry,
            mark=mark,
            key=key,
            version=version,
            answer=answer,
            check_failure=check_failure,
        )
        self.journal.add(operation)
        return operation


def _check_read(answer: Answer, mark: str, key: str, min_version: int) -> str:
    identities = [row[:2] for row in answer.rows]
    if identities != [(mark, key)]:
        return f'expected one row with mark {mark} and key {key}, got {answer.rows!r}'
    version = int(str(answer.rows[0][2]))
    if version < min_version:
        return f'stale read: {key} has version {version}, expected at least {min_version}'
    return ''


def _check_pair(answer: Answer, mark: str) -> str:
    if len(answer.rows) != 1 or answer.rows[0][0] != mark:
        return f'expected one row with mark {mark}, got {answer.rows!r}'
    left, right = answer.rows[0][1:]
    return '' if left == right else f'halves of the pair differ: {left!r} and {right!r}'


def _not_run_answer(answer: Answer) -> Answer:
    return Answer(
        verdict=Verdict.not_run,
        started=answer.started,
        ended=answer.ended,
        code=answer.code,
        message=answer.message,
    )
