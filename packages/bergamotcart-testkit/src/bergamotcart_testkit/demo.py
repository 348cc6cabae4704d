"""Demonstration: a caller keeps sending requests while the primary of its group is killed."""

import asyncio
import logging
import time

from cleo.commands.command import Command
from cleo.helpers import option

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.deployment import LAYOUTS, Deployment, wait_until
from bergamotcart_testkit.load import (
    READ_KINDS,
    Load,
    LoadSettings,
    Operation,
    Session,
    SessionSettings,
)
from bergamotcart_testkit.oracle import collect_evidence, find_violations, replica_share

_ROUNDS = 9
_WRITES_AFTER_FAILOVER = 40
_WRITES_BEFORE_FAILOVER = 40
_SEED = 7


class DemoCommand(Command):
    """Starts a small deployment, kills a primary, and prints the answers that a caller received."""

    name = 'demo'
    description = 'Shows a caller during the failure of a primary'
    options = [option('seed', None, 'seed of the load', flag=False, default=_SEED)]

    def handle(self) -> int:
        """Run the demonstration; the exit status is 0 only if every answer was right."""
        logging.basicConfig(level=logging.WARNING)
        return asyncio.run(self._run(int(self.option('seed'))))

    async def _run(self, seed: int) -> int:
        started_at = time.monotonic()
        async with Deployment(LAYOUTS['small'], seed=seed) as deployment:
            await deployment.wait_until_ready()
            self.line(
                f'ready after {time.monotonic() - started_at:.1f} s: {_describe_plan(deployment)}'
            )
            settings = LoadSettings(seed=seed, sessions=6)
            load = Load(deployment, settings)
            async with load:
                caller = Session(_session_settings(deployment, seed), load.journal)
                await load.create_rows_of((caller,))
                wrong_count = await self._write_and_read(deployment, caller)
                gap = await self._kill_primary(deployment, load)
                wrong_count += await self._write_and_read(deployment, caller)
                await caller.close()
            return await self._report_results(deployment, load, wrong_count, gap)

    async def _write_and_read(self, deployment: Deployment, caller: Session) -> int:
        """Write through one entry and read back through the next one, several times.

        :returns: the number of requests that did not run or had a wrong answer.
        """
        entries = deployment.plan.entries
        wrong_count = 0
        for round_number in range(_ROUNDS):
            await caller.reconnect(entries[round_number % len(entries)])
            written = await caller.write_register()
            await caller.reconnect(entries[(round_number + 1) % len(entries)])
            read_back = await caller.read_own()
            self.line(f'  {_describe_operation(written)}; then {_describe_operation(read_back)}')
            wrong_count += (
                bool(read_back.check_failure)
                + (not written.answer.ran)
                + (not read_back.answer.ran)
            )
        return wrong_count

    async def _kill_primary(self, deployment: Deployment, load: Load) -> float:
        group = deployment.group
        primary = await deployment.wait_for_settled_primary(group)
        await load.wait_for_acknowledged_writes(_WRITES_BEFORE_FAILOVER, group)
        killed_at = time.monotonic()
        deployment.processes[primary.instance].kill()
        self.line(f'killed the primary {primary.instance}')
        await load.wait_for_acknowledged_writes(_WRITES_AFTER_FAILOVER, group)
        resumed_at = load.journal.first_acknowledgement_after(group, killed_at)
        successor = await deployment.wait_for_settled_primary(group)
        self.line(f'writes resumed at {successor.instance}, term {successor.term}')
        deployment.processes[primary.instance].start()
        await wait_until(
            deployment.target(primary.instance).status,
            f'restarted instance {primary.instance} returns its status',
        )
        return resumed_at - killed_at if resumed_at else float('inf')

    async def _report_results(
        self, deployment: Deployment, load: Load, wrong_count: int, gap: float
    ) -> int:
        evidence = await collect_evidence(deployment)
        violations = find_violations(load.journal, evidence)
        operations = load.journal.operations
        share = replica_share(load.journal, evidence, READ_KINDS)
        self.line(f'failover gap: {gap:.3f} s (target: 0.5 s at the median)')
        self.line(f'reads served by replicas: {share or 0.0:.0%} in this mixed load')
        self.line(f'requests: {len(operations)}, refused or unknown: {_count_not_run(operations)}')
        for violation in violations:
            self.line(f'VIOLATION {violation.kind}: {violation.detail}')
        all_right = not violations and not wrong_count
        self.line('every answer was right' if all_right else 'some answers were wrong or missing')
        return 0 if all_right else 1


def _describe_plan(deployment: Deployment) -> str:
    plan = deployment.plan
    zones = ', '.join(deployment.layout.availability_zones)
    return (
        f'{len(plan.controls)} control processes, {len(plan.entries)} entries and '
        f'{len(plan.targets)} instances in {zones}'
    )


def _session_settings(deployment: Deployment, seed: int) -> SessionSettings:
    return SessionSettings(
        name='teacher',
        group=deployment.group,
        user='teacher',
        entries=deployment.plan.entries,
        seed=seed,
    )


def _describe_operation(operation: Operation) -> str:
    answer = operation.answer
    request = f'{operation.kind} through {operation.entry}'
    if operation.check_failure:
        return f'{request}: WRONG, {operation.check_failure}'
    if not answer.ran:
        return f'{request}: {operation.verdict} ({answer.reason})'
    shown = answer.rows[0][-1] if answer.rows else operation.version
    duration_ms = (answer.ended - answer.started) * 1000
    return f'{request}: version {shown} in {duration_ms:.0f} ms'


def _count_not_run(operations: list[Operation]) -> int:
    return sum(not operation.answer.ran for operation in operations)


if __name__ == '__main__':
    run_command(DemoCommand())
