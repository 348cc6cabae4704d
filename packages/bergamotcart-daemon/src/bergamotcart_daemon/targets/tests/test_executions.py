"""Tests that executions and probes report correctly what the target did."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from bergamotcart import entry, messages
from bergamotcart.discovery import Position, TargetKey
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.targets import Targets, TargetSettings
from bergamotcart_daemon.targets._mysql_driver import MysqlDriver
from bergamotcart_daemon.targets._position_dialect import ReplicationPositionDialect
from bergamotcart_daemon.targets.tests.fake_target import FakeTarget, never_respond

_TARGET = TargetKey('tickets', 'a')
_LEDGER_STEPS = (
    entry.Step(entry.StepKind.begin),
    entry.Step(entry.StepKind.ledger_insert),
    entry.Step(entry.StepKind.statement, 'UPDATE seats'),
    entry.Step(entry.StepKind.ledger_record),
    entry.Step(entry.StepKind.commit),
    entry.Step(entry.StepKind.position),
)


class _Harness:
    """Runs actions on a fake target and collects the engine inputs that they produce."""

    def __init__(self, target: FakeTarget, targets: Targets, engine_inputs: asyncio.Queue) -> None:
        self.target = target
        self.targets = targets
        self._engine_inputs = engine_inputs
        self._execution_count = 0

    async def receive(self, kind: type) -> object:
        while True:
            received = await asyncio.wait_for(self._engine_inputs.get(), 5)
            if isinstance(received, kind):
                return received

    def start_execution(self, *steps: entry.Step, **fields: object) -> int:
        self._execution_count += 1
        defaults: dict[str, object] = {
            'session_id': 1,
            'address': self.target.address,
            'use': entry.ConnectionUse.shared,
            'timeout_s': 5.0,
        }
        action = entry.Execute(
            execution_id=self._execution_count,
            request_id=self._execution_count,
            target=_TARGET,
            steps=steps,
            **(defaults | fields),
        )
        self.targets.execute(action)
        return self._execution_count

    async def execute(self, *steps: entry.Step, **fields: object) -> entry.ExecutionFinished:
        self.start_execution(*steps, **fields)
        return await self.receive(entry.ExecutionFinished)


@contextlib.asynccontextmanager
async def _open_harness() -> AsyncIterator[_Harness]:
    engine_inputs: asyncio.Queue = asyncio.Queue()
    settings = TargetSettings(
        translation=AddressTranslation({}),
        connect_timeout_s=0.5,
        driver=MysqlDriver(ReplicationPositionDialect(), 0.5),
    )
    async with FakeTarget() as target, Targets(settings, engine_inputs.put_nowait) as targets:
        yield _Harness(target, targets, engine_inputs)


def _build_statement(sql: str = 'SELECT 1') -> entry.Step:
    return entry.Step(entry.StepKind.statement, sql)


def _build_ledger_fields(fingerprint: str = 'f1') -> dict[str, object]:
    return {'ledger': entry.LedgerKey('desk', 'r1', fingerprint, None)}


async def test_rows_keep_types_and_null():
    """Numbers and NULL reach the engine with their Python types, not as text."""

    async with _open_harness() as harness:
        finished = await harness.execute(_build_statement())
        assert finished.status == entry.ExecutionStatus.completed
        assert finished.result.rows == ((1, 'one', None),)
        assert finished.connection_clean


@pytest.mark.parametrize('has_table', [True, False])
async def test_ledger_runs_statement_once(has_table):
    """A missing ledger table neither fails the first request nor makes it run twice."""

    async with _open_harness() as harness:
        harness.target.ledger = {} if has_table else None
        first = await harness.execute(*_LEDGER_STEPS, **_build_ledger_fields())
        assert first.status == entry.ExecutionStatus.completed
        assert first.report.position == Position(3, 41)
        second = await harness.execute(*_LEDGER_STEPS, **_build_ledger_fields('f2'))
        assert second.status == entry.ExecutionStatus.duplicate
        assert second.record.fingerprint == 'f1'
        assert second.record.affected_rows == 2
        assert second.connection_clean
        assert harness.target.statements.count('UPDATE seats') == 1


async def test_failed_statement_is_rolled_back():
    """The transaction is not left open on the shared connection for the next execution."""

    async with _open_harness() as harness:
        harness.target.fail_statement('UPDATE seats', 1205, 'lock wait timeout')
        finished = await harness.execute(*_LEDGER_STEPS, **_build_ledger_fields())
        assert finished.status == entry.ExecutionStatus.target_error
        assert finished.failed_step == entry.StepKind.statement
        assert finished.error.code == 1205
        assert finished.connection_clean
        assert harness.target.statements[-1] == 'ROLLBACK'


async def test_position_result_is_discarded_after_error():
    """An unread position result after a failed statement is not taken for the next result."""
    async with _open_harness() as harness:
        position = entry.Step(entry.StepKind.position)
        harness.target.fail_statement('UPDATE seats', 1054, 'unknown column')
        failed = await harness.execute(_build_statement('UPDATE seats'), position)
        assert failed.status == entry.ExecutionStatus.target_error
        assert failed.failed_step == entry.StepKind.statement
        following = await harness.execute(_build_statement())
        assert following.result.rows == ((1, 'one', None),)
        assert harness.target.connection_count == 1


async def test_write_keeps_result_without_position():
    """The result of a write is reported even if the position step after it times out."""
    async with _open_harness() as harness:
        harness.target.hooks['SHOW REPLICATION POSITION'] = never_respond
        steps = (_build_statement('UPDATE seats'), entry.Step(entry.StepKind.position))
        finished = await harness.execute(*steps, timeout_s=0.2)
        assert finished.status == entry.ExecutionStatus.lost
        assert finished.failed_step == entry.StepKind.position
        assert finished.result is not None


async def test_not_sent_and_lost_are_distinguished():
    """A statement without a result is not reported as not sent, since it would be run again."""

    async with _open_harness() as harness:
        refused = await harness.execute(_build_statement(), address='127.0.0.1:1')
        assert refused.status == entry.ExecutionStatus.not_sent
        assert refused.connection_refused
        harness.target.hooks['SELECT 1'] = never_respond
        lost = await harness.execute(_build_statement(), timeout_s=0.2)
        assert lost.status == entry.ExecutionStatus.lost
        assert lost.failed_step == entry.StepKind.statement
        assert not lost.connection_refused
        assert not lost.connection_clean
        harness.target.hooks.clear()
        assert (await harness.execute(_build_statement())).status == entry.ExecutionStatus.completed


async def test_reset_during_statement_is_lost_and_refused():
    """A target that was killed is reported as refusing, unlike one that does not respond."""

    async with _open_harness() as harness:
        harness.target.hooks['SELECT 1'] = harness.target.disconnect_all
        lost = await harness.execute(_build_statement())
        assert lost.status == entry.ExecutionStatus.lost
        assert lost.connection_refused


async def test_pool_keeps_connection_limit():
    """An entry above its limit would use connections of the quota of other entries."""

    async with _open_harness() as harness:
        limit = entry.LimitConnections(_TARGET, harness.target.address, 2)
        harness.targets.limit_connections(limit)
        for _ in range(6):
            harness.start_execution(_build_statement('SELECT SLEEP'))
        for _ in range(6):
            await harness.receive(entry.ExecutionFinished)
        assert harness.target.max_concurrent_selects == 2
        assert harness.target.connection_count == 2
        harness.targets.limit_connections(
            entry.LimitConnections(_TARGET, harness.target.address, 1),
        )
        assert (await harness.receive(entry.ConnectionCount)).open == 1


async def test_pinned_connection_is_exclusive():
    """A pinned connection runs no statement of another session until it is unpinned."""

    async with _open_harness() as harness:
        begin = entry.Step(entry.StepKind.begin)
        await harness.execute(begin, use=entry.ConnectionUse.pin, session_id=1)
        waiting = harness.start_execution(_build_statement('SELECT 2'), session_id=2)
        await harness.execute(_build_statement(), use=entry.ConnectionUse.pinned, session_id=1)
        assert 'SELECT 2' not in harness.target.statements
        commit = harness.start_execution(
            entry.Step(entry.StepKind.commit),
            use=entry.ConnectionUse.unpin,
            session_id=1,
        )
        ended = [await harness.receive(entry.ExecutionFinished) for _ in range(2)]
        assert [finished.execution_id for finished in ended] == [commit, waiting]
        assert harness.target.connection_count == 1


async def test_broken_idle_pin_is_reported():
    """A session does not continue a transaction that its target has rolled back."""

    async with _open_harness() as harness:
        await harness.execute(entry.Step(entry.StepKind.begin), use=entry.ConnectionUse.pin)
        await harness.target.disconnect_all()
        assert (await harness.receive(entry.PinLost)).session_id == 1
        late = await harness.execute(_build_statement(), use=entry.ConnectionUse.pinned)
        assert late.status == entry.ExecutionStatus.not_sent


async def test_probes_report_position_and_reachability():
    """Probes distinguish a silent target from a refusing one, which is unreachable sooner."""

    async with _open_harness() as harness:
        probe = entry.Probe(
            target=_TARGET,
            address=harness.target.address,
            wait_for=None,
            timeout_s=0.2,
        )
        harness.targets.probe(probe)
        first = await harness.receive(entry.ProbeFinished)
        assert first.report.position == Position(3, 41)
        harness.target.hooks['SHOW REPLICATION POSITION'] = never_respond
        harness.targets.probe(probe)
        silent = await harness.receive(entry.ProbeFinished)
        assert silent.failure == messages.Reachability.silent
        harness.target.hooks.clear()
        harness.targets.probe(probe)
        await harness.receive(entry.ProbeFinished)
        await harness.target.stop()
        refused = await harness.receive(entry.ProbeFinished)
        assert refused.failure == messages.Reachability.refusing
