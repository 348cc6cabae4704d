"""Tests of 89 entries whose replicas fall behind, so that the primary has too few slots.

The group has 78% of its slots in use before the fault, and the load is 1.6 times what the primary
can do alone.
"""

import asyncio
from dataclasses import dataclass

import pytest

from bergamotcart_daemon.targets.tests.saturation import Simulation, open_simulation
from bergamotcart_daemon.targets.tests.simulated_group import VirtualTimeLoop
from bergamotcart_daemon.targets.tests.simulated_operations import OperationKind

_ENTRIES = 89
_CONNECTION_LIMIT = 231
_OPERATIONS_PER_S = 237
_SEED = 1
_BEFORE_S = 2.0
_FAULT_S = 6.5
# The replicas fall behind what reads allow within this time.
_FAULT_SHOWS_S = 2.0
# Time after the fault in which the refusals must end.
_RECOVERY_S = 2.0
_AFTER_S = 4.0
# Greatest number of connections opened for each statement after the fault.
_MAX_LATE_OPENINGS = 0.1


@dataclass
class _Figures:
    """Figures of one run.

    :param orders: share of the operations that only the primary can run that were served.
    :param reports: the same for those that replicas can run as well.
    :param attempts_per_statement: attempts at instances for each statement of a caller.
    :param late_refusals: refused statements later than ``_RECOVERY_S`` after the fault.
    :param late_openings: connections opened for each statement in that period.
    """

    orders: float
    reports: float
    attempts_per_statement: float
    late_refusals: int
    late_openings: float


@pytest.fixture(scope='module', name='figures')
def _figures() -> _Figures:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_run_fault())


async def _run_fault() -> _Figures:
    async with open_simulation(_ENTRIES, _CONNECTION_LIMIT, _SEED) as simulation:
        group = simulation.group
        start = asyncio.get_running_loop().time()
        await simulation.run_load(_OPERATIONS_PER_S, _BEFORE_S)
        for replica in group.replicas:
            replica.applied_until = asyncio.get_running_loop().time()
        await simulation.run_load(_OPERATIONS_PER_S, _FAULT_S)
        for replica in group.replicas:
            replica.applied_until = None
        await simulation.run_load(_OPERATIONS_PER_S, _RECOVERY_S)
        refusals, openings = group.count('refused'), group.count('connections')
        statements = group.count('statements')
        attempts = statements + group.count('behind')
        requests = simulation.request_count
        await simulation.run_load(_OPERATIONS_PER_S, _AFTER_S)
        late_openings = (group.count('connections') - openings) / (
            group.count('statements') - statements
        )
        late_refusals = group.count('refused') - refusals
        await simulation.finish()
        shows_at = start + _BEFORE_S + _FAULT_SHOWS_S
        return _Figures(
            orders=_share_served(simulation, OperationKind.order, shows_at),
            reports=_share_served(simulation, OperationKind.report, shows_at),
            attempts_per_statement=attempts / requests,
            late_refusals=late_refusals,
            late_openings=late_openings,
        )


def _share_served(simulation: Simulation, kind: OperationKind, shows_at: float) -> float:
    return simulation.share_served(kind, shows_at, shows_at + _FAULT_S - _FAULT_SHOWS_S)


def test_reads_do_not_crowd_out_statements_for_the_primary(figures: _Figures):
    """What only the primary can run is served at least as well as reads that fall back to it."""
    assert figures.orders >= figures.reports, f'SHORT: {figures}'


def test_attempts_do_not_multiply(figures: _Figures):
    """A statement is sent to instances at most as often as its route allows, on average."""
    assert figures.attempts_per_statement <= 2, f'SHORT: {figures}'


def test_refusals_end_with_the_fault(figures: _Figures):
    """The overload does not outlive its cause."""
    assert not figures.late_refusals, f'SHORT: {figures}'


def test_connections_are_kept(figures: _Figures):
    """Opening a connection costs a slot nearly as long as a statement, so most must reuse one."""
    assert figures.late_openings <= _MAX_LATE_OPENINGS, f'SHORT: {figures}'
