"""Tests which instance serves requests of sessions with a route, and their outcomes."""

import pytest

from bergamotcart import entry
from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, key, open_strict_session
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
    world = RoutedWorld()
    session = world.open_session('own')
    write = world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution(), position=20)
    assert isinstance(world.replies[write].outcome, Ran)
    other = world.open_session('aged')
    world.send_statement(other, routed.READ)
    action = world.next_execution()
    assert action.target == key('b')
    assert action.steps[0].floor == Position(1, 10)


def test_read_requires_position_of_own_write():
    """A session must see its own write at any instance, whatever age its reads may have."""
    world = RoutedWorld()
    session = world.open_session('own')
    world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution(), position=20)
    world.send_statement(session, routed.READ)
    assert world.next_execution().steps[0].floor == Position(1, 20)


def test_read_is_sent_elsewhere_if_replica_is_behind():
    """The caller must neither wait for the replica nor receive its error."""
    world = RoutedWorld()
    read = world.send_statement(world.open_session('aged'), routed.READ)
    first = world.next_execution()
    world.fail_execution(first, _BEHIND)
    second = world.next_execution()
    assert second.target != first.target
    world.finish_execution(second)
    assert isinstance(world.replies[read].outcome, Ran)


def test_waiting_reads_share_one_probe():
    """Each probe uses a connection slot of the primary."""
    world = RoutedWorld()
    world.answer_probes()
    world.update(phase=GroupPhase.open, term=2)
    sessions = [world.open_session('aged') for _ in range(3)]
    for session in sessions:
        world.send_statement(session, routed.READ)
    assert not world.executions
    world.advance(0.01)
    assert [probe.target for _, probe in world.probes] == [key('a')]
    world.answer_probes(position=30)
    assert [action.steps[0].floor for action in world.executions] == [
        Position(1, 30) for _ in sessions
    ]


def test_strict_read_is_not_answered_after_freeze():
    """A replaced primary still answers reads outside a transaction, so a lease is needed."""
    world = RoutedWorld()
    read = world.send_statement(open_strict_session(world), routed.READ)
    action = world.next_execution()
    assert action.target == key('a')
    assert [step.kind for step in action.steps] == [entry.StepKind.statement]
    world.advance(0.3)
    world.update(phase=GroupPhase.frozen)
    world.finish_execution(action)
    assert read not in world.replies


def test_strict_read_without_lease_runs_in_read_write_transaction():
    """A primary that was replaced refuses such a transaction, so no stale answer is given."""
    world = RoutedWorld()
    world.advance(_LEASE_EXPIRY_S)
    world.answer_probes()
    read = world.send_statement(open_strict_session(world), routed.READ)
    world.answer_probes()
    action = world.next_execution()
    assert [step.kind for step in action.steps] == [
        entry.StepKind.begin,
        entry.StepKind.statement,
        entry.StepKind.rollback,
    ]
    assert action.steps[0].sql == 'BEGIN'
    world.finish_execution(action)
    assert isinstance(world.replies[read].outcome, Ran)


def test_strict_read_only_transaction_begins_read_write():
    """A replaced primary would continue a read-only transaction and serve stale data."""
    world = RoutedWorld()
    world.advance(_LEASE_EXPIRY_S)
    world.answer_probes()
    session = open_strict_session(world)
    world.send_statement(session, routed.BEGIN_READ, 'BEGIN READ')
    world.send_statement(session, routed.READ)
    world.answer_probes()
    assert world.next_execution().steps[0].sql == 'BEGIN'


def test_write_without_lease_goes_to_claimed_primary():
    """Writes need no lease if a replaced primary refuses them by itself."""
    world = RoutedWorld()
    world.advance(_LEASE_EXPIRY_S)
    world.answer_probes(primary='c')
    write = world.send_statement(open_strict_session(world), routed.WRITE, _INSERT)
    world.answer_probes(primary='c')
    action = world.next_execution()
    assert action.target == key('c')
    world.finish_execution(action)
    assert isinstance(world.replies[write].outcome, Ran)


def test_positions_are_cleared_when_primary_changes():
    """They may include writes that the new primary does not have, which no read may require."""
    world = RoutedWorld()
    session = world.open_session('own')
    world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution(), position=99)
    world.update(phase=GroupPhase.frozen)
    world.update(phase=GroupPhase.promoting, term=2, primary='c')
    world.update(phase=GroupPhase.open, term=2, primary='c')
    world.advance(0.3)
    world.grant_lease()
    world.send_statement(session, routed.READ)
    world.advance(0.6)
    world.answer_probes(primary='c', position=50)
    assert world.next_execution().steps[0].floor == Position(1, 50)


@pytest.mark.parametrize('error', [_NOT_RUN, _READ_ONLY])
def test_refused_write_is_retried(error):
    """Nothing has run, so the caller does not receive the error."""
    world = RoutedWorld()
    write = world.send_statement(open_strict_session(world), routed.WRITE, _INSERT)
    world.fail_execution(world.next_execution(), error)
    world.advance(0.2)
    world.finish_execution(world.next_execution())
    assert isinstance(world.replies[write].outcome, Ran)


def test_unanswered_write_is_in_doubt_and_not_retried():
    """The write may have run, so another attempt could run it twice."""
    world = RoutedWorld()
    write = world.send_statement(open_strict_session(world), routed.WRITE, _INSERT)
    world.lose_connection(world.next_execution())
    world.advance(0.3)
    assert isinstance(world.replies[write].outcome, MayHaveRun)
    assert not world.executions


def test_instance_error_is_passed_to_caller():
    """The statement ran, so the reply must not say that it has not run."""
    world = RoutedWorld()
    write = world.send_statement(open_strict_session(world), routed.WRITE, _INSERT)
    world.fail_execution(world.next_execution(), _STATEMENT_FAILED)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, Ran)
    assert outcome.error == _STATEMENT_FAILED


def test_write_waiting_for_primary_ends_at_deadline():
    """Nothing was sent, so the reply says that the write has not run."""
    world = RoutedWorld()
    world.update(phase=GroupPhase.frozen)
    write = world.send_statement(open_strict_session(world), routed.WRITE, _INSERT)
    world.advance(routed.TIMEOUT_S + 0.01)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.deadline


def test_leaving_primary_gets_writes_for_limited_time():
    """Writes go to a leaving primary until it is replaced, but for 3 s at most."""
    for lease in (True, False):
        world = RoutedWorld()
        world.announce(leaving='a')
        if not lease:
            world.advance(_LEASE_EXPIRY_S)
            world.answer_probes()
        session = open_strict_session(world)
        first = world.send_statement(session, routed.WRITE, _INSERT)
        world.answer_probes()
        world.finish_execution(world.next_execution())
        assert isinstance(world.replies[first].outcome, Ran)
        world.advance(2.6)
        world.answer_probes()
        world.send_statement(session, routed.WRITE, 'WRITE x 2')
        world.answer_probes()
        assert not world.executions
