"""Replays of load beyond the capacity of the primary, at one entry."""

import itertools
from typing import Final

import pytest

from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.crowd import Crowd
from bergamotcart.outcomes import Reason

_SERVICE_S: Final = 0.02
_CAPACITY_PER_S: Final = 1 / _SERVICE_S
_CROWD_S: Final = 3.0
_OBJECTIVE_S: Final = 0.3
# Callers whose times to come back lie before their time-out.
_ORDERED_RETURNS: Final = 15
# Time after a crowd within which requests must be served as before it.
_RECOVERY_S: Final = 2.0
# Time of the statements that the primary has received before one that leaves the queue.
_IN_FLIGHT_S: Final = 4 * _SERVICE_S


def _run_crowd(factor: float) -> Crowd:
    crowd = Crowd(_SERVICE_S, strict={'target_latency_s': _OBJECTIVE_S})
    crowd.run(1, 0.5 * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.callers.clear()
    crowd.run(_CROWD_S, factor * _CAPACITY_PER_S, 'strict', routed.WRITE)
    return crowd


def test_crowd_is_refused_at_once():
    """A request that cannot be served in time must not wait for its deadline to be refused."""
    crowd = _run_crowd(3)
    crowd.run(2, 0, 'strict', routed.WRITE)
    assert len(crowd.refusals(crowd.callers)) > len(crowd.callers) / 2
    # Until the first departures show how fast the queue is served, requests are queued.
    expired = len(crowd.refusals(crowd.callers, Reason.deadline))
    assert expired < len(crowd.callers) / 50, f'{expired} of {len(crowd.callers)}'
    assert len(crowd.served(crowd.callers)) > 0.9 * _CROWD_S * _CAPACITY_PER_S


def test_refused_callers_come_back_one_after_the_other():
    """Constant times to come back would repeat the crowd that caused the refusals."""
    crowd = _run_crowd(2)
    refused = [each for each in crowd.callers if crowd.refusals([each], Reason.expected_wait)]
    returns = [
        each.sent_at + each.took_s + crowd.refusals([each])[0].retry_after for each in refused
    ]
    # Later callers would come back after their time-out, and are spread over the time until then.
    ordered = returns[:_ORDERED_RETURNS]
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(ordered)]
    assert len(gaps_s) == _ORDERED_RETURNS - 1
    assert min(gaps_s) > _SERVICE_S


@pytest.mark.parametrize('factor', [2, 3, 5])
def test_no_queue_is_left_after_the_crowd(factor: int):
    """Overload must end with its cause, also if refused callers come back twice."""
    crowd = Crowd(_SERVICE_S, strict={'target_latency_s': _OBJECTIVE_S})
    crowd.retries = 2
    crowd.run(_CROWD_S, factor * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.run(_RECOVERY_S, 0.5 * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.callers.clear()
    crowd.run(1, 0.5 * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.run(0.5, 0, 'strict', routed.WRITE)
    served = crowd.served(crowd.callers)
    assert len(served) == len(crowd.callers)
    assert max(each.took_s for each in served) <= _OBJECTIVE_S + _IN_FLIGHT_S


def test_requests_are_in_time_during_a_long_crowd():
    """A queue that stays as long as the objective serves as many requests, all of them too late."""
    crowd = Crowd(_SERVICE_S, strict={'target_latency_s': _OBJECTIVE_S})
    crowd.retries = 2
    crowd.run(2, 3 * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.callers.clear()
    crowd.run(_CROWD_S, 3 * _CAPACITY_PER_S, 'strict', routed.WRITE)
    crowd.run(1, 0, 'strict', routed.WRITE)
    served = crowd.served(crowd.callers)
    assert len(served) > 0.95 * _CROWD_S * _CAPACITY_PER_S
    assert all(each.took_s <= _OBJECTIVE_S for each in served)


def test_writes_are_served_during_a_crowd_of_reads():
    """Reads that arrived before a write must not delay it beyond its objective."""
    crowd = Crowd(
        _SERVICE_S,
        strict={'priority': 1, 'target_latency_s': _OBJECTIVE_S},
        own={'priority': 2, 'target_latency_s': 0.5, 'consistency': 'primary'},
    )
    writes = []
    for _ in range(30):
        crowd.run(0.1, 3 * _CAPACITY_PER_S, 'own', routed.READ)
        writes.append(crowd.send('strict', routed.WRITE))
    crowd.run(0.5, 0, 'own', routed.READ)
    times_s = [each.took_s for each in crowd.served(writes)]
    assert len(times_s) == len(writes)
    assert max(times_s) <= _OBJECTIVE_S
    # The reads are not starved: they get what the writes leave.
    assert len(crowd.served(crowd.callers)) > 0.9 * _CROWD_S * _CAPACITY_PER_S
