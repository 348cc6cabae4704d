"""One measurement: a deployment under load, with one kind of fault."""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

from bergamotcart_testkit.deployment import Deployment, Layout
from bergamotcart_testkit.load import (
    MOSTLY_READ_WEIGHTS,
    READ_KINDS,
    Load,
    LoadSettings,
    OperationKind,
)
from bergamotcart_testkit.measure import _failovers as failovers
from bergamotcart_testkit.measure import _fault_free as fault_free
from bergamotcart_testkit.measure._figures import Figure, latencies_by_kind, percentile
from bergamotcart_testkit.measure._plot import plot_writes
from bergamotcart_testkit.measure._report import Report, count_outcomes
from bergamotcart_testkit.oracle import (
    GroupEvidence,
    Violation,
    collect_evidence,
    find_violations,
    replica_share,
)

_WRITE_ONLY_WEIGHTS = MappingProxyType({'write': 1})
_LAG_S = 3.0
_AGED_READS = frozenset((OperationKind.aged_read,))


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasureSettings:
    """Settings of one measurement.

    :param duration_s: length of the mixed load, in seconds.
    :param plot: file for the plot, or ``None``.
    :param folder: folder that keeps the logs, or ``None`` for a temporary one.
    """

    layout: Layout
    fault: failovers.Fault
    duration_s: float
    seed: int
    plot: Path | None = None
    folder: Path | None = None


class Measurement:
    """Runs a deployment under a mixed load with one kind of fault."""

    def __init__(self, settings: MeasureSettings) -> None:
        """Prepare a measurement."""
        self._settings = settings
        self._figures: list[Figure] = []
        self._failovers: list[failovers.Failover] = []
        self._last_statement_after_leave_s: float | None = None

    async def run(self) -> Report:
        """Measure and return the report."""
        settings = self._settings
        planned = Deployment(settings.layout, seed=settings.seed, folder=settings.folder)
        async with planned as deployment:
            await deployment.wait_until_ready()
            await self._measure_without_fault(deployment)
            load = await self._run_load(deployment)
            evidence = await collect_evidence(deployment)
        self._add_failover_figures()
        self._add_replica_shares(load, evidence)
        violations = find_violations(load.journal, evidence)
        self._add_violations(violations)
        if settings.plot:
            plot_writes(load, self._failovers, settings.plot)
        return Report(
            layout=settings.layout.name,
            fault=settings.fault.value,
            seed=settings.seed,
            duration_s=settings.duration_s,
            figures=self._figures,
            failovers=self._failovers,
            latencies=latencies_by_kind(load.journal),
            outcomes=count_outcomes(load.journal),
            violations=[f'{each.kind}: {each.detail}' for each in violations],
        )

    async def _measure_without_fault(self, deployment: Deployment) -> None:
        self._figures.extend(await fault_free.measure_idle_cost(deployment))
        await fault_free.prepare_reads(deployment)
        self._figures.append(await fault_free.measure_added_latency(deployment))
        self._figures.append(await fault_free.measure_throughput(deployment))
        self._figures.append(await fault_free.measure_distribution(deployment))

    async def _run_load(self, deployment: Deployment) -> Load:
        seed = self._settings.seed
        read_settings = LoadSettings(seed=seed, sessions=8, pause=0.04, weights=MOSTLY_READ_WEIGHTS)
        write_settings = LoadSettings(
            seed=seed, sessions=3, pause=0.03, weights=_WRITE_ONLY_WEIGHTS
        )
        readers = Load(deployment, read_settings)
        writers = Load(deployment, write_settings, readers.journal)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(readers)
            await stack.enter_async_context(writers)
            await self._run_fault(deployment, writers)
        return writers

    async def _run_fault(self, deployment: Deployment, writers: Load) -> None:
        until = time.monotonic() + self._settings.duration_s
        match self._settings.fault:
            case failovers.Fault.kill:
                self._failovers = await failovers.kill_primaries(deployment, writers, until)
            case failovers.Fault.isolate:
                self._failovers = await failovers.isolate_primaries(deployment, writers, until)
            case failovers.Fault.lag:
                await failovers.delay_replicas(deployment, _LAG_S, until)
            case failovers.Fault.leave:
                self._last_statement_after_leave_s = await failovers.let_replica_leave(
                    deployment, until
                )
            case _:
                await asyncio.sleep(self._settings.duration_s)

    def _add_failover_figures(self) -> None:
        fault = self._settings.fault
        gaps = [each.gap_s for each in self._failovers if each.gap_s is not None]
        kill_gaps = gaps if fault is failovers.Fault.kill else []
        isolation_gaps = gaps if fault is failovers.Fault.isolate else []
        note = f'{len(gaps)} failovers'
        rows = (
            ('failover gap, primary killed, p50', percentile(kill_gaps, 0.5), 0.5),
            ('failover gap, primary killed, p99', percentile(kill_gaps, 0.99), 1),
            ('failover gap, primary isolated, p99', percentile(isolation_gaps, 0.99), 3),
            ('last new work on a leaving instance', self._last_statement_after_leave_s, 3),
        )
        self._figures.extend(
            Figure(name=name, measured=measured, target=target, unit='s', note=note)
            for name, measured, target in rows
        )

    def _add_replica_shares(self, load: Load, evidence: list[GroupEvidence]) -> None:
        rows = (
            ('reads that tolerate age served by replicas', _AGED_READS, 97),
            ('all reads served by replicas', READ_KINDS, 90),
        )
        for name, kinds, target in rows:
            share = replica_share(load.journal, evidence, kinds)
            measured = None if share is None else 100 * share
            figure = Figure(name=name, measured=measured, target=target, unit='%', at_least=True)
            self._figures.append(figure)

    def _add_violations(self, violations: list[Violation]) -> None:
        name = 'lost, doubled, stale, mixed, wrongly refused'
        figure = Figure(name=name, measured=len(violations), target=0, unit='requests')
        self._figures.append(figure)
