"""Runs executions on pooled and pinned connections."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from bergamotcart.entry import (
    ConnectionUse,
    EntryInput,
    Execute,
    ExecutionFinished,
    ExecutionStatus,
    PinLost,
)
from bergamotcart_daemon.connections import ConnectError, TargetConnection
from bergamotcart_daemon.targets._connection_pool import ConnectionPool
from bergamotcart_daemon.targets._interfaces import ExecutionRun, TargetDriver

# Ledger rows are kept for hours, so a deletion every 10 minutes is enough.
_PRUNE_INTERVAL_S: Final = 600.0
_PRUNE_TIMEOUT_S: Final = 10.0

_logger = logging.getLogger(__name__)


class _Checkout(msgspec.Struct):
    """A connection that an execution or a pinned session holds, and the pool it belongs to."""

    pool: ConnectionPool
    connection: TargetConnection
    running: bool = True


class Executor:
    """Runs executions on pooled connections, and keeps those that are pinned for a session.

    :param submit: takes the inputs of the engine.
    :param get_pool: returns the connection pool for the target of an execution.
    """

    def __init__(
        self,
        driver: TargetDriver,
        submit: Callable[[EntryInput], None],
        get_pool: Callable[[Execute], ConnectionPool],
    ) -> None:
        """Create an executor without running executions."""
        self._driver = driver
        self._submit = submit
        self._get_pool = get_pool
        self._pins: dict[int, _Checkout] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_prune: dict[ConnectionPool, float] = {}

    def start_execution(self, action: Execute) -> None:
        """Run an execution in the background."""
        self._create_task(self._execute(action))

    def release_pin(self, session_id: int) -> None:
        """Close the connection pinned for a session, even while an execution runs on it."""
        checkout = self._pins.pop(session_id, None)
        if checkout is not None:
            checkout.pool.discard(checkout.connection)

    def close(self) -> None:
        """Cancel all executions and close all pinned connections."""
        for task in self._tasks:
            task.cancel()
        for session_id in tuple(self._pins):
            self.release_pin(session_id)

    def _create_task(self, awaitable: Awaitable[None]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, action: Execute) -> None:
        deadline = asyncio.get_running_loop().time() + action.timeout_s
        try:
            checkout = self._try_acquire(action) or await self._acquire(action, deadline)
        except TimeoutError:
            self._submit(_build_not_sent(action, ConnectError(refused=False)))
            return
        except ConnectError as error:
            self._submit(_build_not_sent(action, error))
            return
        except ValueError as error:
            _logger.warning('execution on target %s not sent: %s', action.target, error)
            self._submit(_build_not_sent(action, ConnectError(refused=False)))
            return
        run = self._driver.prepare_execution(action, checkout.connection)
        finished = await run.run(deadline)
        checkout.running = False
        self._return_connection(action, checkout, run)
        self._submit(finished)
        if not checkout.connection.usable:
            self._on_pin_lost(action.session_id, checkout)

    def _try_acquire(self, action: Execute) -> _Checkout | None:
        if action.use in {ConnectionUse.pinned, ConnectionUse.unpin}:
            pinned = self._pins.get(action.session_id)
            if pinned is None:
                raise ConnectError(refused=False)
            pinned.running = True
            return pinned
        pool = self._get_pool(action)
        connection = pool.acquire_idle(action.workspace)
        return None if connection is None else self._register_checkout(action, pool, connection)

    async def _acquire(self, action: Execute, deadline: float) -> _Checkout:
        pool = self._get_pool(action)
        async with asyncio.timeout_at(deadline):
            connection = await pool.acquire(action.workspace, action)
        return self._register_checkout(action, pool, connection)

    def _register_checkout(
        self,
        action: Execute,
        pool: ConnectionPool,
        connection: TargetConnection,
    ) -> _Checkout:
        checkout = _Checkout(pool, connection)
        if action.use == ConnectionUse.pin:
            self._pins[action.session_id] = checkout
        return checkout

    def _return_connection(self, action: Execute, checkout: _Checkout, run: ExecutionRun) -> None:
        session_id = action.session_id
        is_pinned = self._pins.get(session_id) is checkout
        if checkout.connection.closed:
            self._remove_pin(session_id, checkout)
            checkout.pool.discard(checkout.connection)
        elif is_pinned and run.in_transaction and action.use != ConnectionUse.unpin:
            checkout.connection.on_connection_lost = lambda _: self._on_pin_lost(
                session_id, checkout
            )
        elif run.in_transaction:
            self._remove_pin(session_id, checkout)
            checkout.pool.discard(checkout.connection)
        else:
            self._remove_pin(session_id, checkout)
            self._release_to_pool(action, checkout)

    def _remove_pin(self, session_id: int, checkout: _Checkout) -> None:
        if self._pins.get(session_id) is checkout:
            self._pins.pop(session_id)

    def _on_pin_lost(self, session_id: int, checkout: _Checkout) -> None:
        if checkout.running or self._pins.get(session_id) is not checkout:
            return
        self.release_pin(session_id)
        self._submit(PinLost(session_id))

    def _release_to_pool(self, action: Execute, checkout: _Checkout) -> None:
        now = asyncio.get_running_loop().time()
        retention_s = action.ledger_retention_s
        if retention_s is None or now < self._next_prune.get(checkout.pool, 0):
            checkout.pool.release(checkout.connection)
            return
        self._next_prune[checkout.pool] = now + _PRUNE_INTERVAL_S
        self._create_task(self._prune_ledger(checkout, retention_s))

    async def _prune_ledger(self, checkout: _Checkout, retention_s: float) -> None:
        try:
            async with asyncio.timeout(_PRUNE_TIMEOUT_S):
                deleted_rows = await self._driver.prune(checkout.connection, retention_s)
        except Exception as error:
            _logger.warning(
                'pruning the ledger of target %s failed; closing the connection: %r',
                checkout.pool.address,
                error,
            )
            checkout.pool.discard(checkout.connection)
            return
        _logger.info(
            'deleted %d expired rows from the ledger of target %s',
            deleted_rows,
            checkout.pool.address,
        )
        checkout.pool.release(checkout.connection)


def _build_not_sent(action: Execute, error: ConnectError) -> ExecutionFinished:
    return ExecutionFinished(
        execution_id=action.execution_id,
        status=ExecutionStatus.not_sent,
        error=error.error,
        connection_refused=error.refused,
    )
