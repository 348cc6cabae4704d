"""Tests of entries that start while instances still count the connections of dead processes.

After a loss of power of all machines but those of the instances, these refuse most connections
until they notice that the former processes are gone.
"""

import asyncio
import statistics
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import pytest

from bergamotcart_daemon.targets.tests.saturation import Simulation, open_simulation
from bergamotcart_daemon.targets.tests.simulated_group import INSTANCE_NAMES, VirtualTimeLoop

_SEEDS: Final = (2, 3)
_ENTRIES: Final = 27
_CONNECTION_LIMIT: Final = 46
# Connections of dead processes at each instance, and the time until it drops them.
_FULL: Final = MappingProxyType(dict.fromkeys(INSTANCE_NAMES, 43))
_DEAD_FOR_S: Final = 0.85
_OPERATIONS_PER_S: Final = 160
_MEASURED_S: Final = 2.0
# Time within which a caller wants its answer.
_OBJECTIVE_S: Final = 0.5
# Share of the operations begun in the last part of the outage that are answered in this time.
_LAST_PART_S: Final = 0.35
_MIN_TIMELY: Final = 0.75
# The same of all operations begun during the outage, if the former processes had as many
# connections as they have in normal operation.
_CALM_S: Final = 5.0
_MIN_TIMELY_AFTER_CALM: Final = 0.97


async def _run_start(seed: int, dead: Mapping[str, int], measured_s: float) -> float:
    """Return the share of timely operations among those begun in the last part of the outage.

    :param dead: connections of dead processes, by instance.
    :param measured_s: length of that part, in seconds.
    """
    async with open_simulation(_ENTRIES, _CONNECTION_LIMIT, seed) as simulation:
        loop = asyncio.get_running_loop()
        end = loop.time() + _DEAD_FOR_S
        _add_connections(simulation, dead)
        drop = {name: -count for name, count in dead.items()}
        loop.call_at(end, _add_connections, simulation, drop)
        await simulation.run_load(_OPERATIONS_PER_S, _MEASURED_S)
        await simulation.finish()
        outcomes = simulation.outcomes
        times_s = [each.took_s for each in outcomes if end - measured_s <= each.started_at < end]
        timely = sum(time_s is not None and time_s <= _OBJECTIVE_S for time_s in times_s)
        return timely / len(times_s)


async def _count_connections(seed: int) -> dict[str, int]:
    """Return the connections of each instance in normal operation."""
    async with open_simulation(_ENTRIES, _CONNECTION_LIMIT, seed) as simulation:
        await simulation.run_load(_OPERATIONS_PER_S, _CALM_S)
        counts = {name: each.connections for name, each in simulation.group.instances.items()}
        await simulation.finish()
        return counts


def _add_connections(simulation: Simulation, counts: Mapping[str, int]) -> None:
    for name, count in counts.items():
        simulation.group.instances[name].connections += count


def test_callers_are_served_as_soon_as_connections_are_accepted():
    """Refused callers would use up their retries, and entries would connect too late."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        timely = [runner.run(_run_start(seed, _FULL, _LAST_PART_S)) for seed in _SEEDS]
    assert statistics.mean(timely) >= _MIN_TIMELY, f'SHORT: {timely}'


@pytest.mark.parametrize('seed', _SEEDS)
def test_primary_has_room_for_entries_that_start_anew(seed: int):
    """Connections that entries keep in normal operation are missing after a loss of power."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        dead = runner.run(_count_connections(seed))
        timely = runner.run(_run_start(seed, dead, _DEAD_FOR_S))
    assert timely >= _MIN_TIMELY_AFTER_CALM, f'SHORT: {timely}, connections {dead}'
