"""Tests which instance serves requests of sessions with a route, and their outcomes."""

import pytest

from bergamotcart import entry
from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import (
    RoutedEntryHarness,
    key,
    open_strict_session,
)
from bergamotcart.messages import GroupPhase
from bergamotcart.outcomes import ErrorKind, MayHaveRun, NotRun, Ran, Reason, TargetError

_BEHIND = TargetError(0, 'LAGGING', 'behind', ErrorKind.behind)
_READ_ONLY = TargetError(0, 'READONLY', 'read only', ErrorKind.read_only)
_NOT_RUN = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
_STATEMENT_FAILED = TargetError(0, 'FAILED', 'failed', ErrorKind.ran)
_LEASE_EXPIRY_S = 1.1
_INSERT = 'WRITE x 1'


def test_read_requires_lowest_position_within_max_age():
    """The required position proves the age of the replica; most have reached an older position."""
    harness = RoutedEntryHarness()
    session = harness.open_session('own')
    write = harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution(), position=20)
    assert isinstance(harness.replies[write].outcome, Ran)
    other = harness.open_session('aged')
    harness.send_statement(other, routed.READ)
    action = harness.next_execution()
    assert action.target == key('b')
    assert action.steps[0].floor == Position(1, 10)


def test_read_requires_position_of_own_write():
    """A session must see its own write at any instance, whatever age its reads may have."""
    harness = RoutedEntryHarness()
    session = harness.open_session('own')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution(), position=20)
    harness.send_statement(session, routed.READ)
    assert harness.next_execution().steps[0].floor == Position(1, 20)


def test_log_shows_origin_of_required_position():
    """Without it, a read of old data cannot be traced to the position that allowed it."""
    harness = RoutedEntryHarness()
    session = harness.open_session('own')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution(), position=20)
    for database in ('own', 'aged'):
        session = session if database == 'own' else harness.open_session(database)
        harness.send_statement(session, routed.READ)
    details = [each.detail for each in harness.decisions if each.action == 'send_read']
    assert details == [
        'floor 1.20, own write of term 1, age 2.0 s',
        'floor 1.10, poll by control, asked at -0.050 s, age 2.0 s',
    ]


def test_age_of_transaction_counts_from_its_first_statement():
    """Guards against reads that are older than allowed because their caller paused after BEGIN."""
    harness = RoutedEntryHarness()
    session = harness.open_session('aged')
    harness.send_statement(session, routed.BEGIN_READ, 'BEGIN READ')
    harness.advance(routed.MAX_AGE_S)
    harness.grant_lease(primary_position=20)
    harness.send_statement(session, routed.READ)
    assert harness.next_execution().steps[0].floor == Position(1, 20)


def test_read_is_sent_elsewhere_if_replica_is_behind():
    """The caller must neither wait for the replica nor receive its error."""
    harness = RoutedEntryHarness()
    read = harness.send_statement(harness.open_session('aged'), routed.READ)
    first = harness.next_execution()
    harness.fail_execution(first, _BEHIND)
    second = harness.next_execution()
    assert second.target != first.target
    harness.finish_execution(second)
    assert isinstance(harness.replies[read].outcome, Ran)


def test_waiting_reads_share_one_probe():
    """Each probe uses a connection slot of the primary."""
    harness = RoutedEntryHarness()
    harness.answer_probes()
    harness.update(phase=GroupPhase.open, term=2)
    sessions = [harness.open_session('aged') for _ in range(3)]
    for session in sessions:
        harness.send_statement(session, routed.READ)
    assert not harness.executions
    harness.advance(0.01)
    assert [probe.target for _, probe in harness.probes] == [key('a')]
    harness.answer_probes(position=30)
    assert [action.steps[0].floor for action in harness.executions] == [
        Position(1, 30) for _ in sessions
    ]


def test_strict_read_is_not_answered_after_freeze():
    """A replaced primary still answers reads outside a transaction, so a lease is needed."""
    harness = RoutedEntryHarness()
    read = harness.send_statement(open_strict_session(harness), routed.READ)
    action = harness.next_execution()
    assert action.target == key('a')
    assert [step.kind for step in action.steps] == [entry.StepKind.statement]
    harness.advance(0.3)
    harness.update(phase=GroupPhase.frozen)
    harness.finish_execution(action)
    assert read not in harness.replies


def test_strict_read_without_lease_runs_in_read_write_transaction():
    """A primary that was replaced refuses such a transaction, so no stale answer is given."""
    harness = RoutedEntryHarness()
    harness.advance(_LEASE_EXPIRY_S)
    harness.answer_probes()
    read = harness.send_statement(open_strict_session(harness), routed.READ)
    harness.answer_probes()
    action = harness.next_execution()
    assert [step.kind for step in action.steps] == [
        entry.StepKind.begin,
        entry.StepKind.statement,
        entry.StepKind.rollback,
    ]
    assert action.steps[0].sql == 'BEGIN'
    harness.finish_execution(action)
    assert isinstance(harness.replies[read].outcome, Ran)


def test_strict_read_only_transaction_begins_read_write():
    """A replaced primary would continue a read-only transaction and serve stale data."""
    harness = RoutedEntryHarness()
    harness.advance(_LEASE_EXPIRY_S)
    harness.answer_probes()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN_READ, 'BEGIN READ')
    harness.send_statement(session, routed.READ)
    harness.answer_probes()
    assert harness.next_execution().steps[0].sql == 'BEGIN'


def test_write_without_lease_goes_to_claimed_primary():
    """Writes need no lease if a replaced primary refuses them by itself."""
    harness = RoutedEntryHarness()
    harness.advance(_LEASE_EXPIRY_S)
    harness.answer_probes(primary='c')
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.answer_probes(primary='c')
    action = harness.next_execution()
    assert action.target == key('c')
    harness.finish_execution(action)
    assert isinstance(harness.replies[write].outcome, Ran)


def test_positions_are_cleared_when_primary_changes():
    """They may include writes that the new primary does not have, which no read may require."""
    harness = RoutedEntryHarness()
    session = harness.open_session('own')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution(), position=99)
    harness.update(phase=GroupPhase.frozen)
    harness.update(phase=GroupPhase.promoting, term=2, primary='c')
    harness.update(phase=GroupPhase.open, term=2, primary='c')
    harness.advance(0.3)
    harness.grant_lease()
    harness.send_statement(session, routed.READ)
    harness.advance(0.6)
    harness.answer_probes(primary='c', position=50)
    assert harness.next_execution().steps[0].floor == Position(1, 50)


@pytest.mark.parametrize('error', [_NOT_RUN, _READ_ONLY])
def test_refused_write_is_retried(error):
    """Nothing has run, so the caller does not receive the error."""
    harness = RoutedEntryHarness()
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.fail_execution(harness.next_execution(), error)
    harness.advance(0.2)
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[write].outcome, Ran)


def test_unanswered_write_is_in_doubt_and_not_retried():
    """The write may have run, so another attempt could run it twice."""
    harness = RoutedEntryHarness()
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.lose_connection(harness.next_execution())
    harness.advance(0.3)
    assert isinstance(harness.replies[write].outcome, MayHaveRun)
    assert not harness.executions


def test_instance_error_is_passed_to_caller():
    """The statement ran, so the reply must not say that it has not run."""
    harness = RoutedEntryHarness()
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.fail_execution(harness.next_execution(), _STATEMENT_FAILED)
    outcome = harness.replies[write].outcome
    assert isinstance(outcome, Ran)
    assert outcome.error == _STATEMENT_FAILED


def test_write_waiting_for_primary_ends_at_deadline():
    """Nothing was sent, so the reply says that the write has not run."""
    harness = RoutedEntryHarness()
    harness.update(phase=GroupPhase.frozen)
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.advance(routed.TIMEOUT_S + 0.01)
    outcome = harness.replies[write].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.deadline


def test_leaving_primary_gets_writes_for_limited_time():
    """Writes go to a leaving primary until it is replaced, but for 3 s at most."""
    for lease in (True, False):
        harness = RoutedEntryHarness()
        harness.announce(leaving='a')
        if not lease:
            harness.advance(_LEASE_EXPIRY_S)
            harness.answer_probes()
        session = open_strict_session(harness)
        first = harness.send_statement(session, routed.WRITE, _INSERT)
        harness.answer_probes()
        harness.finish_execution(harness.next_execution())
        assert isinstance(harness.replies[first].outcome, Ran)
        harness.advance(2.6)
        harness.answer_probes()
        harness.send_statement(session, routed.WRITE, 'WRITE x 2')
        harness.answer_probes()
        assert not harness.executions
