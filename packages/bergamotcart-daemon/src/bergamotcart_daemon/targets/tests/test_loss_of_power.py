"""Tests of entries that start while instances still count the connections of dead processes.

After a loss of power of all machines but those of the instances, these refuse most connections
until they notice that the former processes are gone.
"""

import asyncio
from typing import Final

import pytest

from bergamotcart_daemon.targets.tests.saturation import Simulation, open_simulation
from bergamotcart_daemon.targets.tests.simulated_group import VirtualTimeLoop

_ENTRIES: Final = 27
_CONNECTION_LIMIT: Final = 46
# Connections of dead processes at each instance, and the time until it drops them.
_DEAD_CONNECTIONS: Final = 43
_DEAD_FOR_S: Final = 0.85
_OPERATIONS_PER_S: Final = 160
_MEASURED_S: Final = 2.0
# Time within which a caller wants its answer.
_OBJECTIVE_S: Final = 0.5
# Share of the operations begun in the last part of the outage that are answered in this time.
_LAST_PART_S: Final = 0.35
_MIN_TIMELY: Final = 0.7


async def _run_start(seed: int) -> list[float | None]:
    """Return the seconds until success of the operations begun in the last part of the outage."""
    async with open_simulation(_ENTRIES, _CONNECTION_LIMIT, seed) as simulation:
        loop = asyncio.get_running_loop()
        end = loop.time() + _DEAD_FOR_S
        _add_connections(simulation, _DEAD_CONNECTIONS)
        loop.call_at(end, _add_connections, simulation, -_DEAD_CONNECTIONS)
        await simulation.run_load(_OPERATIONS_PER_S, _MEASURED_S)
        await simulation.finish()
        outcomes = simulation.outcomes
        return [each.took_s for each in outcomes if end - _LAST_PART_S <= each.started_at < end]


def _add_connections(simulation: Simulation, count: int) -> None:
    for instance in simulation.group.instances.values():
        instance.connections += count


@pytest.mark.parametrize('seed', [1, 2])
def test_callers_are_served_as_soon_as_connections_are_accepted(seed: int):
    """Refused callers would use up their retries, and entries would connect too late."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        times_s = runner.run(_run_start(seed))
    timely = sum(time_s is not None and time_s <= _OBJECTIVE_S for time_s in times_s)
    assert timely / len(times_s) >= _MIN_TIMELY, f'SHORT: {timely} of {len(times_s)}'
