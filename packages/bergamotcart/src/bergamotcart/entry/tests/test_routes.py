"""Guards the promises of sessions that use a route."""

import pytest

from bergamotcart import entry
from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, key, open_strict
from bergamotcart.messages import GroupPhase
from bergamotcart.outcomes import ErrorKind, MayHaveRun, NotRun, Ran, Reason, TargetError

_BEHIND = TargetError(0, 'LAGGING', 'behind', ErrorKind.behind)
_READ_ONLY = TargetError(0, 'READONLY', 'read only', ErrorKind.read_only)
_REFUSED = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
_FAILED = TargetError(0, 'FAILED', 'failed', ErrorKind.ran)
_LEASE_ENDS_S = 1.1
_INSERT = 'WRITE x 1'


def test_a_read_carries_the_lowest_head_that_is_young_enough():
    """The replica proves its age by it, and most replicas have an older head already."""
    world = RoutedWorld()
    session = world.open('own')
    write = world.ask(session, routed.WRITE, _INSERT)
    world.finish(world.take(), position=20)
    assert isinstance(world.replies[write].outcome, Ran)
    other = world.open('aged')
    world.ask(other, routed.READ)
    action = world.take()
    assert action.target == key('b')
    assert action.steps[0].floor == Position(1, 10)


def test_a_session_reads_its_own_write_wherever_it_reads():
    """A session must see what it wrote, whatever age it tolerates."""
    world = RoutedWorld()
    session = world.open('own')
    world.ask(session, routed.WRITE, _INSERT)
    world.finish(world.take(), position=20)
    world.ask(session, routed.READ)
    assert world.take().steps[0].floor == Position(1, 20)


def test_a_replica_that_lacks_the_position_is_passed_over():
    """The caller must neither wait for it nor be told."""
    world = RoutedWorld()
    read = world.ask(world.open('aged'), routed.READ)
    first = world.take()
    world.fail(first, _BEHIND)
    second = world.take()
    assert second.target != first.target
    world.finish(second)
    assert isinstance(world.replies[read].outcome, Ran)


def test_a_missing_head_is_asked_for_once_for_all_readers_that_wait():
    """Each probe takes a slot of the primary."""
    world = RoutedWorld()
    world.answer_probes()
    world.update(phase=GroupPhase.open, term=2)
    sessions = [world.open('aged') for _ in range(3)]
    for session in sessions:
        world.ask(session, routed.READ)
    assert not world.executions
    world.pass_time(0.01)
    assert [probe.target for _, probe in world.probes] == [key('a')]
    world.answer_probes(head=30)
    assert [action.steps[0].floor for action in world.executions] == [
        Position(1, 30) for _ in sessions
    ]


def test_a_strict_read_needs_a_lease_until_its_answer():
    """A replaced primary answers bare reads without knowing better."""
    world = RoutedWorld()
    read = world.ask(open_strict(world), routed.READ)
    action = world.take()
    assert action.target == key('a')
    assert [step.kind for step in action.steps] == [entry.StepKind.statement]
    world.pass_time(0.3)
    world.update(phase=GroupPhase.frozen)
    world.finish(action)
    assert read not in world.replies


def test_without_a_lease_a_strict_read_runs_in_a_plain_transaction():
    """Entries that control cannot reach must not answer from the past."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes()
    read = world.ask(open_strict(world), routed.READ)
    world.answer_probes()
    action = world.take()
    assert [step.kind for step in action.steps] == [
        entry.StepKind.begin,
        entry.StepKind.statement,
        entry.StepKind.rollback,
    ]
    assert action.steps[0].sql == 'BEGIN'
    world.finish(action)
    assert isinstance(world.replies[read].outcome, Ran)


def test_a_read_only_transaction_that_needs_the_primary_is_a_plain_one_there():
    """A replaced primary goes on with read-only transactions."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes()
    session = open_strict(world)
    world.ask(session, routed.BEGIN_READ, 'BEGIN READ')
    world.ask(session, routed.READ)
    world.answer_probes()
    assert world.take().steps[0].sql == 'BEGIN'


def test_without_a_lease_a_write_goes_to_whoever_says_it_is_the_primary():
    """Writes need no lease where a replaced primary refuses them by itself."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes(primary='c')
    write = world.ask(open_strict(world), routed.WRITE, _INSERT)
    world.answer_probes(primary='c')
    action = world.take()
    assert action.target == key('c')
    world.finish(action)
    assert isinstance(world.replies[write].outcome, Ran)


def test_heads_of_a_former_primary_do_not_outlive_it():
    """They may count writes that the new primary does not have."""
    world = RoutedWorld()
    session = world.open('own')
    world.ask(session, routed.WRITE, _INSERT)
    world.finish(world.take(), position=99)
    world.update(phase=GroupPhase.frozen)
    world.update(phase=GroupPhase.promoting, term=2, primary='c')
    world.update(phase=GroupPhase.open, term=2, primary='c')
    world.pass_time(0.3)
    world.grant()
    world.ask(session, routed.READ)
    world.pass_time(0.6)
    world.answer_probes(primary='c', head=50)
    assert world.take().steps[0].floor == Position(1, 50)


@pytest.mark.parametrize('error', [_REFUSED, _READ_ONLY])
def test_a_write_that_an_instance_refuses_is_sent_again(error):
    """The caller need not know, since nothing has run."""
    world = RoutedWorld()
    write = world.ask(open_strict(world), routed.WRITE, _INSERT)
    world.fail(world.take(), error)
    world.pass_time(0.2)
    world.finish(world.take())
    assert isinstance(world.replies[write].outcome, Ran)


def test_a_write_without_an_answer_is_in_doubt_and_never_sent_again():
    """It may have run, and twice would be once too often."""
    world = RoutedWorld()
    write = world.ask(open_strict(world), routed.WRITE, _INSERT)
    world.lose(world.take())
    world.pass_time(0.3)
    assert isinstance(world.replies[write].outcome, MayHaveRun)
    assert not world.executions


def test_a_failure_of_the_instance_reaches_the_caller_as_it_is():
    """It ran, so it is no promise that nothing is kept."""
    world = RoutedWorld()
    write = world.ask(open_strict(world), routed.WRITE, _INSERT)
    world.fail(world.take(), _FAILED)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, Ran)
    assert outcome.error == _FAILED


def test_a_write_that_waits_for_a_primary_ends_in_time():
    """The refusal is true: nothing was sent."""
    world = RoutedWorld()
    world.update(phase=GroupPhase.frozen)
    write = world.ask(open_strict(world), routed.WRITE, _INSERT)
    world.pass_time(routed.TIMEOUT_S + 0.01)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.deadline


def test_a_leaving_primary_is_used_until_it_is_replaced_but_not_for_long():
    """Its writes have nowhere else to go, yet a leaving target gets no new work after 3 s."""
    for lease in (True, False):
        world = RoutedWorld()
        world.announce(leaving='a')
        if not lease:
            world.pass_time(_LEASE_ENDS_S)
            world.answer_probes()
        session = open_strict(world)
        first = world.ask(session, routed.WRITE, _INSERT)
        world.answer_probes()
        world.finish(world.take())
        assert isinstance(world.replies[first].outcome, Ran)
        world.pass_time(2.6)
        world.answer_probes()
        world.ask(session, routed.WRITE, 'WRITE x 2')
        world.answer_probes()
        assert not world.executions
