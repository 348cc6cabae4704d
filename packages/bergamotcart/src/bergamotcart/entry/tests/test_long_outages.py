"""Tests of requests that need a primary which stays unusable."""

from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.messages import GroupPhase
from bergamotcart.outcomes import NotRun, Reason


def _freeze(harness: RoutedEntryHarness, seconds: float) -> None:
    """Freeze the group, and keep the lease valid for some seconds."""
    harness.update(phase=GroupPhase.frozen)
    harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 0')
    for _ in range(round(seconds / 0.3)):
        harness.grant_lease()


def _send_write(harness: RoutedEntryHarness) -> int:
    return harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 1')


def test_request_is_held_during_usual_failover():
    """A request that comes early in an outage is served by the next primary."""
    harness = RoutedEntryHarness()
    _freeze(harness, 0.6)
    write = _send_write(harness)
    assert write not in harness.replies
    harness.update(phase=GroupPhase.open, term=2, primary='b')
    assert harness.next_execution().target == routed.key('b')


def test_request_is_refused_at_once_in_long_outage():
    """A request that no instance can take must not wait until its deadline."""
    harness = RoutedEntryHarness()
    _freeze(harness, 2.1)
    write = _send_write(harness)
    outcome = harness.replies[write].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.group_not_open
    assert outcome.retry_after is not None


def test_requests_are_served_after_long_outage():
    """The end of an outage is noticed without a request that waits for it."""
    harness = RoutedEntryHarness()
    _freeze(harness, 2.1)
    harness.update(phase=GroupPhase.open, term=2, primary='b')
    _send_write(harness)
    assert harness.next_execution().target == routed.key('b')
    harness.update(phase=GroupPhase.frozen, term=2)
    write = _send_write(harness)
    assert write not in harness.replies
