"""Tests the expected wait in a queue and the times at which refused callers come back."""

import random

import pytest

from bergamotcart.admission import QueuePace

_INTERVAL_S = 0.02


def _build_pace(departures: int) -> QueuePace:
    pace = QueuePace()
    pace.record_arrival(0)
    for number in range(departures + 1):
        pace.record_departure(number * _INTERVAL_S)
    return pace


def test_no_wait_is_expected_without_departures():
    """A guess would refuse requests that are served in time."""
    assert _build_pace(7).expected_wait_s(100) is None
    assert _build_pace(8).expected_wait_s(100) == pytest.approx(2)


def test_wait_is_unknown_after_long_pause():
    """The rate of an earlier load says little about a target that has changed since."""
    pace = _build_pace(20)
    pace.record_arrival(60)
    assert pace.expected_wait_s(1) is None


def test_outage_does_not_lengthen_the_expected_wait():
    """A primary that was replaced is as fast as before, so requests must not be refused."""
    pace = _build_pace(20)
    pace.record_departure(3)
    assert pace.expected_wait_s(10) == pytest.approx(0.2, rel=0.2)


def test_refused_callers_return_in_order_at_half_the_rate_of_the_queue():
    """Callers that come back together would be refused again, and the first ones lose most."""
    pace, rng = _build_pace(20), random.Random(1)
    times = [pace.return_after_s(1, 0.5, 0.3, 5, rng) for _ in range(10)]
    assert times == pytest.approx([0.2 + 2 * number * _INTERVAL_S for number in range(10)])


def test_queue_stands_after_its_objective():
    """A peak drains by itself, but a queue that stays long makes every request late."""
    pace = _build_pace(20)
    assert not pace.is_standing(1, 0.5, 0.3)
    assert not pace.is_standing(1.2, 0.5, 0.3)
    assert pace.is_standing(1.4, 0.5, 0.3)
    assert not pace.is_standing(1.5, 0.1, 0.3)
    # The overload goes on, so that callers get no second peak.
    assert pace.is_standing(1.6, 0.5, 0.3)
    # None has been late for as long as the objective, so this is a new peak.
    assert not pace.is_standing(1.95, 0.5, 0.3)


def test_standing_queue_leaves_time_for_the_statement():
    """A request that may wait for its whole objective is late however fast its statement is."""
    pace = _build_pace(20)
    assert [pace.is_standing(now, 0.2, 0.3) for now in (1, 1.4)] == [False, False]
    pace.is_standing(2, 0.5, 0.3)
    assert pace.is_standing(2.2, 0.5, 0.3) is False
    assert pace.is_standing(2.4, 0.2, 0.3)
    assert not pace.is_standing(2.45, 0.15, 0.3)


def test_slow_queue_is_judged_by_its_interval():
    """An entry with few requests has none for longer than the objective, and must not run idle."""
    pace = QueuePace()
    for number in range(10):
        pace.record_departure(number * 0.5)
    assert not pace.is_standing(5, 1, 0.3)
    assert pace.is_standing(6, 1, 0.3)
    assert not pace.is_standing(6.5, 0.5, 0.3)
    assert pace.is_standing(7, 1, 0.3)


def test_queue_stands_for_its_low_priority_only():
    """Writes that are served at once must not hide that the reads behind them are late."""
    pace = _build_pace(20)
    for tick in range(10):
        assert not pace.is_standing(1 + tick / 10, 0, 0.3, priority=1)
        stands = pace.is_standing(1 + tick / 10, 0.5, 0.3, priority=2)
    assert stands
    assert not pace.is_standing(2, 0.5, 0.3, priority=1)


def test_no_caller_is_sent_away_beyond_its_deadline():
    """A caller gives up at its deadline, so a later return is a refusal without a retry."""
    pace, rng = _build_pace(20), random.Random(1)
    times = [pace.return_after_s(1, 0.5, 0.3, 1, rng) for _ in range(200)]
    # Those without a place in the order have time left to be served within the objective.
    assert max(times[40:]) <= 1 - 0.3
