"""Tests of the failure and the shutdown of entries, and of repeated requests."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import chain

from bergamotcart_testkit.checked_load import checked_load, open_session
from bergamotcart_testkit.deployment import Deployment, EntryPlan, wait_until
from bergamotcart_testkit.load import (
    Caller,
    Directives,
    LoadSettings,
    Operation,
    OperationKind,
    Verdict,
)
from bergamotcart_testkit.oracle import collect_evidence, marks_in

_HANG_TIMEOUT_S = 30.0


async def _does_not_serve(deployment: Deployment, entry: EntryPlan) -> bool:
    return not await deployment.is_serving(entry)


async def _count_orders(deployment: Deployment, request: str) -> int:
    """Count the committed statements in the log of the final primary that contain a request."""
    evidence = await collect_evidence(deployment)
    statements = chain.from_iterable(record.statements for record in evidence[0].log)
    return sum(request in marks_in(sql) for sql in statements)


async def test_entry_killed_inside_transaction(deployment: Deployment) -> None:
    """Guards against a partly applied transaction, and against locks that outlive their entry."""
    async with checked_load(deployment, LoadSettings(seed=21)) as load:
        entry, other = deployment.plan.entries[:2]
        session = await open_session(load, 'survivor', (other,))
        caller = await Caller.connect(entry.name, entry.callers, 'desk', deployment.group)
        assert (await caller.execute('BEGIN')).ran
        sql = f"UPDATE left_halves SET mark = 'half.1' WHERE id = '{session.name}'"
        assert (await caller.execute(sql)).ran
        deployment.processes[entry.name].kill()
        written = await wait_until(
            partial(_answered_or_none, session.write_pair),
            'a transaction runs through another entry',
        )
        read = await session.read_pair(session.name)
        assert read.answer.ran, read
        assert read.answer.rows[0][1:] == (written.mark, written.mark)
        await load.wait_for_acknowledged_writes(30, deployment.group)


async def _answered_or_none(send: Callable[[], Awaitable[Operation | None]]) -> Operation | None:
    operation = await send()
    return operation if operation and operation.answer.ran else None


async def test_entry_drained_under_load(deployment: Deployment) -> None:
    """Guards against a graceful shutdown that cuts off requests in flight."""
    async with checked_load(deployment, LoadSettings(seed=22)) as load:
        entry = deployment.plan.entries[0]
        process = deployment.processes[entry.name]
        session = await open_session(load, 'drained', (entry,))
        caller = await session.connect()
        await load.wait_for_acknowledged_writes(20, deployment.group)
        # The instance runs one writing transaction at a time, so other writes wait for this one.
        assert (await caller.execute('BEGIN')).ran
        sql = f"UPDATE left_halves SET mark = 'kept.1' WHERE id = '{session.name}'"
        assert (await caller.execute(sql)).ran
        drained_at = time.monotonic()
        process.terminate()
        await wait_until(
            partial(_does_not_serve, deployment, entry),
            f'{entry.name} reports that it no longer serves',
        )
        other_half = sql.replace('left_halves', 'right_halves')
        assert (await caller.execute(other_half)).ran
        assert (await caller.execute('COMMIT')).ran
        caller.close()
        assert await process.wait(_HANG_TIMEOUT_S) == 0
        interrupted = [
            operation
            for operation in load.journal.operations
            if operation.entry == entry.name
            and operation.answer.started < drained_at
            and operation.verdict is Verdict.may_have_run
        ]
        assert not interrupted, interrupted
        await load.wait_for_acknowledged_writes(20, deployment.group)


async def test_same_request_through_several_entries(deployment: Deployment) -> None:
    """Guards against a repeated request that another entry applies again."""
    async with checked_load(deployment, LoadSettings(seed=23)) as load:
        entries = deployment.plan.entries
        session = await open_session(load, 'blind', tuple(entries))
        first = f'{session.name}.order1'
        attempts = [session.repeat_order(first, entry) for entry in (*entries, entries[0])]
        answers = await asyncio.gather(*attempts)
        assert any(operation and operation.answer.ran for operation in answers)
        for entry in entries:
            repeated = await session.repeat_order(first, entry)
            assert repeated
            assert repeated.answer.ran, repeated
            assert repeated.answer.affected_rows == 1
        assert await _count_orders(deployment, first) == 1


async def test_same_request_during_failover(deployment: Deployment) -> None:
    """Guards against a repeated request that runs again at the new primary."""
    async with checked_load(deployment, LoadSettings(seed=24)) as load:
        entries = deployment.plan.entries
        session = await open_session(load, 'failover', tuple(entries))
        request = f'{session.name}.order1'
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        attempts = [asyncio.create_task(session.repeat_order(request, each)) for each in entries]
        deployment.processes[old_primary.instance].kill()
        await asyncio.gather(*attempts)
        repeat = partial(session.repeat_order, request, entries[0])
        await wait_until(
            partial(_answered_or_none, repeat), f'request {request} is answered after the failover'
        )
        await load.wait_for_acknowledged_writes(20, deployment.group)
    assert await _count_orders(deployment, request) == 1


async def test_identifier_reused_for_another_statement(deployment: Deployment) -> None:
    """Guards against a reused identifier that makes a different statement count as a repeat."""
    async with checked_load(deployment, LoadSettings(seed=25)) as load:
        entry = deployment.plan.entries[0]
        session = await open_session(load, 'reuse', (entry,))
        first = await session.insert_order()
        assert first.answer.ran, first
        caller = await session.connect()
        directives = Directives(request=first.mark, repeatable='no')
        sql = f"DELETE FROM orders WHERE request = '{first.mark}'"
        answer = await caller.execute(sql, directives)
        assert answer.verdict is Verdict.not_run, answer
        assert answer.code == 15_006, answer
        assert first.kind is OperationKind.order
