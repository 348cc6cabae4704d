"""Runs executions on pooled and pinned connections."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from bergamotcart.entry import (
    ConnectionUse,
    EntryInput,
    Execute,
    ExecutionFinished,
    ExecutionStatus,
    PinLost,
)
from bergamotcart_daemon.targets._driver import (
    ConnectError,
    ExecutionRun,
    TargetDriver,
    TargetLink,
)
from bergamotcart_daemon.targets._pool import ConnectionPool

# Rows are kept for hours, so a rare deletion is enough.
_PRUNE_INTERVAL_S: Final = 600.0
_PRUNE_TIMEOUT_S: Final = 10.0

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Pin:
    pool: ConnectionPool
    connection: TargetLink
    running: bool = True


class Executor:
    """Owns the pinned connections; pools own all others.

    :param find_pool: returns the pool for the target of an execution.
    """

    def __init__(
        self,
        driver: TargetDriver,
        submit: Callable[[EntryInput], None],
        find_pool: Callable[[Execute], ConnectionPool],
    ) -> None:
        """Start without executions."""
        self._driver = driver
        self._submit = submit
        self._find_pool = find_pool
        self._pins: dict[int, _Pin] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_prune: dict[ConnectionPool, float] = {}

    def start(self, action: Execute) -> None:
        """Run an execution in the background."""
        self._spawn(self._execute(action))

    def release_pin(self, session_id: int) -> None:
        """Close the connection pinned for a session, also while it is in use."""
        pin = self._pins.pop(session_id, None)
        if pin is not None:
            pin.pool.discard(pin.connection)

    def close(self) -> None:
        """Stop all executions."""
        for task in self._tasks:
            task.cancel()
        for session_id in tuple(self._pins):
            self.release_pin(session_id)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, action: Execute) -> None:
        deadline = asyncio.get_running_loop().time() + action.timeout_s
        try:
            pin = self._take_at_once(action) or await self._take(action, deadline)
        except TimeoutError:
            self._submit(_not_sent(action, ConnectError(refused=False)))
            return
        except ConnectError as error:
            self._submit(_not_sent(action, error))
            return
        except ValueError as error:
            _logger.warning('target %s: %s', action.target, error)
            self._submit(_not_sent(action, ConnectError(refused=False)))
            return
        run = self._driver.start(action, pin.connection)
        finished = await run.run(deadline)
        pin.running = False
        self._put_back(action, pin, run)
        self._submit(finished)
        if not pin.connection.usable:
            self._note_pin_broken(action.session_id, pin)

    def _take_at_once(self, action: Execute) -> _Pin | None:
        if action.use in {ConnectionUse.pinned, ConnectionUse.unpin}:
            pinned = self._pins.get(action.session_id)
            if pinned is None:
                raise ConnectError(refused=False)
            pinned.running = True
            return pinned
        pool = self._find_pool(action)
        connection = pool.take_idle()
        return None if connection is None else self._note_taken(action, pool, connection)

    async def _take(self, action: Execute, deadline: float) -> _Pin:
        pool = self._find_pool(action)
        async with asyncio.timeout_at(deadline):
            connection = await pool.acquire()
        return self._note_taken(action, pool, connection)

    def _note_taken(
        self,
        action: Execute,
        pool: ConnectionPool,
        connection: TargetLink,
    ) -> _Pin:
        pin = _Pin(pool, connection)
        if action.use == ConnectionUse.pin:
            self._pins[action.session_id] = pin
        return pin

    def _put_back(self, action: Execute, pin: _Pin, run: ExecutionRun) -> None:
        session_id = action.session_id
        is_pinned = self._pins.get(session_id) is pin
        if pin.connection.closed:
            self._drop_pin(session_id, pin)
            pin.pool.discard(pin.connection)
        elif is_pinned and run.in_transaction and action.use != ConnectionUse.unpin:
            pin.connection.on_broken = lambda _: self._note_pin_broken(session_id, pin)
        elif run.in_transaction:
            self._drop_pin(session_id, pin)
            pin.pool.discard(pin.connection)
        else:
            self._drop_pin(session_id, pin)
            self._release(action, pin)

    def _drop_pin(self, session_id: int, pin: _Pin) -> None:
        if self._pins.get(session_id) is pin:
            self._pins.pop(session_id)

    def _note_pin_broken(self, session_id: int, pin: _Pin) -> None:
        if pin.running or self._pins.get(session_id) is not pin:
            return
        self.release_pin(session_id)
        self._submit(PinLost(session_id))

    def _release(self, action: Execute, pin: _Pin) -> None:
        now = asyncio.get_running_loop().time()
        retention_s = action.ledger_retention_s
        if retention_s is None or now < self._next_prune.get(pin.pool, 0):
            pin.pool.release(pin.connection)
            return
        self._next_prune[pin.pool] = now + _PRUNE_INTERVAL_S
        self._spawn(self._prune(pin, retention_s))

    async def _prune(self, pin: _Pin, retention_s: float) -> None:
        try:
            async with asyncio.timeout(_PRUNE_TIMEOUT_S):
                pruned = await self._driver.prune(pin.connection, retention_s)
        except Exception as error:
            _logger.warning('pruning the ledger failed: %s', error)
            pin.pool.discard(pin.connection)
            return
        _logger.info('pruned %d rows of the ledger', pruned)
        pin.pool.release(pin.connection)


def _not_sent(action: Execute, error: ConnectError) -> ExecutionFinished:
    return ExecutionFinished(
        execution_id=action.execution_id,
        status=ExecutionStatus.not_sent,
        error=error.error,
        refused=error.refused,
    )
