"""Tests what an entry answers while it cannot tell whether its configuration is current."""

import pytest

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import Reason

_CUT_OFF_S = 3.0
_RENEWALS_BEHIND = 10
_ADDED = 'own'
_INITIAL = ('strict', 'aged')


def _make_harness() -> RoutedEntryHarness:
    """Return a harness without the route that the tests add."""
    harness = RoutedEntryHarness(configured=False)
    harness.section = routed.make_routes(*_INITIAL)
    harness.configure()
    return harness


def _assert_retryable(refusal) -> None:
    assert refusal.reason is Reason.configuration_unconfirmed
    assert refusal.retry_after is not None


def test_confirmed_route_is_not_unknown_to_entry_that_was_cut_off():
    """The caller is told to come back, and the routes that the entry knows are served."""
    harness = _make_harness()
    for _ in range(12):
        harness.advance(0.25)
    added, known = harness.open_session(_ADDED), open_strict_session(harness)
    _assert_retryable(harness.session_answers[added].refusal)
    assert harness.session_answers[known].refusal is None


def test_session_waits_for_update_that_a_grant_has_shown():
    """The session of a route that is being distributed is opened, not refused."""
    harness = _make_harness()
    harness.index += 1
    harness.grant_lease()
    harness.advance(0.7)
    added = harness.open_session(_ADDED)
    assert added not in harness.session_answers
    harness.section = routed.make_routes(*_INITIAL, _ADDED, version=2)
    harness.update()
    assert harness.session_answers[added].refusal is None


@pytest.mark.parametrize(
    ('lease_granted', 'reason'),
    [(True, Reason.unknown_group), (False, Reason.configuration_unconfirmed)],
)
def test_unknown_route_is_refused_for_good_only_with_current_state(lease_granted, reason):
    """A session that waits is answered by the next grant, or before the caller gives up."""
    harness = _make_harness()
    harness.advance(1.0)
    unknown = harness.open_session('nothing')
    assert unknown not in harness.session_answers
    if lease_granted:
        harness.grant_lease()
    else:
        harness.advance(1.2)
    assert harness.session_answers[unknown].refusal.reason is reason


def test_statement_on_removed_route_is_retryable_without_current_state():
    """The route may have been added again by a change that the entry has not received."""
    harness = _make_harness()
    session = open_strict_session(harness)
    harness.section = routed.make_routes('aged', version=2)
    harness.update()
    harness.advance(_CUT_OFF_S)
    read = harness.send_statement(session, routed.READ)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    first_in_transaction = harness.send_statement(session, routed.READ)
    for request in (read, first_in_transaction):
        _assert_retryable(harness.replies[request].outcome)
    assert harness.replies[first_in_transaction].transaction is entry.TransactionState.none
    assert not harness.executions


def test_statement_after_begin_never_runs_outside_transaction():
    """Guards against writes that take effect at once because their BEGIN was refused (PINNED).

    The entry is behind control at BEGIN, and has caught up when the next statement arrives.
    """
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.index += 1
    for _ in range(_RENEWALS_BEHIND):
        harness.grant_lease()
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.update()
    harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    assert harness.next_execution().use is entry.ConnectionUse.pin


def test_unknown_group_is_retryable_without_current_state():
    """A group that was added may be unknown to an entry that was cut off."""
    world = World(('e1',))
    world.announce()
    world.settle()
    session, caller = world.open_session('e1'), Caller('c')
    first = world.request('e1', session, caller, 'USE nothing')
    world.advance(_CUT_OFF_S)
    second = world.request('e1', session, caller, 'USE nothing')
    assert world.outcome(first).reason is Reason.unknown_group
    _assert_retryable(world.outcome(second))
