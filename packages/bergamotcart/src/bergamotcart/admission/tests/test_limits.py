"""Tests the limits per caller, the retry budgets and the connection quota."""

import random

import pytest

from bergamotcart.admission import (
    Backoff,
    CallerLimits,
    ConnectionQuota,
    QuotaReport,
    RetryBudgets,
    RetryLimits,
)

_LIMITS = RetryLimits(share=0.1, minimum_per_s=0.5, burst=2)


def test_caller_at_its_limit_does_not_affect_others():
    """A caller that leaks connections must not use up those of other callers."""
    limits = CallerLimits()
    assert limits.try_open_connection('a', 1)
    assert not limits.try_open_connection('a', 1)
    assert limits.try_open_connection('b', 1)
    assert limits.try_start_request('a', 1)
    limits.record_closed_connection('a')
    assert limits.try_open_connection('a', 1)
    with pytest.raises(ValueError, match="caller 'b' has no connection or request to release"):
        limits.record_finished_request('b')


def test_retries_are_limited_to_share_of_requests():
    """Without a budget, retries multiply the load of a target that fails."""
    budgets = RetryBudgets()
    retries = 0
    for _ in range(1000):
        budgets.record_request(0, 'a', 'g', _LIMITS)
        retries += budgets.try_consume(0, 'a', 'g', _LIMITS)
    assert 100 <= retries <= 102


def test_idle_caller_earns_retries_up_to_burst():
    """A caller with few requests could not retry at all if only requests earned retries."""
    budgets = RetryBudgets()
    allowed = {
        now: [budgets.try_consume(now, 'a', 'g', _LIMITS) for _ in range(3)] for now in (0, 2, 99)
    }
    assert [sum(results) for results in allowed.values()] == [2, 1, 2]


def test_group_budget_is_shared_by_callers():
    """Many callers, each within its own budget, must not overload one group."""
    budgets = RetryBudgets()
    allowed = [budgets.try_consume(0, caller, 'g', _LIMITS) for caller in 'abc']
    assert allowed == [True, True, False]
    # The refused retry took no token from the bucket of its caller.
    assert budgets.try_consume(0, 'c', 'other', _LIMITS)
    assert budgets.try_consume(0, 'c', 'other', _LIMITS)


def test_backoff_doubles_with_jitter():
    """With equal delays all callers would retry at the same time."""
    rng = random.Random(1)
    backoff = Backoff(initial_delay_s=0.1, max_delay_s=1)
    full_delays = {0: 0.1, 1: 0.2, 3: 0.8, 4: 1, 5000: 1}
    for attempt, full_s in full_delays.items():
        delays = {backoff.delay_s(attempt, rng) for _ in range(50)}
        assert full_s / 2 <= min(delays) < full_s * 0.7
        assert full_s * 0.8 < max(delays) <= full_s


def test_older_grant_is_ignored():
    """Control may have lent the connections of the older grant to another entry since."""
    quota = ConnectionQuota(3)
    assert quota.apply_grant(sent_at=2, lent=1)
    assert not quota.apply_grant(sent_at=1, lent=5)
    opened = [quota.try_open_connection() for _ in range(4)]
    assert opened == [True, True, True, False]
    assert quota.build_report(waiting_requests=4) == QuotaReport(lent_in_use=1, demand=5)
    quota.revoke_loan()
    assert (quota.limit, quota.excess_connections) == (2, 1)
    quota.record_closed_connection()
    assert (quota.excess_connections, quota.try_open_connection()) == (0, False)
