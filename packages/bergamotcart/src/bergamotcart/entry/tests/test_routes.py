"""Guards the promises of sessions that use a route."""

import pytest

from bergamotcart import entry
from bergamotcart.discovery import Position
from bergamotcart.entry import ConnectionUse, StepKind, TransactionState
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, key
from bergamotcart.messages import GroupPhase
from bergamotcart.outcomes import ErrorKind, MayHaveRun, NotRun, Ran, Reason, TargetError
from bergamotcart.statements import Statement, StatementKind

_BEHIND = TargetError(0, 'LAGGING', 'behind', ErrorKind.behind)
_READ_ONLY = TargetError(0, 'READONLY', 'read only', ErrorKind.read_only)
_REFUSED = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
_FAILED = TargetError(0, 'FAILED', 'failed', ErrorKind.ran)
_LEASE_ENDS_S = 1.1


def test_a_read_that_tolerates_age_carries_the_lowest_head_that_is_young_enough():
    """The replica proves its age by it, and most replicas have an older head already."""
    world = RoutedWorld()
    session = world.open('own')
    write = world.ask(session, routed.WRITE, 'WRITE x 1')
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
    world.ask(session, routed.WRITE, 'WRITE x 1')
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
    assert [action.steps[0].floor for action in world.executions] == [Position(1, 30)] * 3


def test_a_strict_read_needs_a_lease_until_its_answer():
    """A replaced primary answers bare reads without knowing better."""
    world = RoutedWorld()
    read = world.ask(world.open('strict'), routed.READ)
    action = world.take()
    assert action.target == key('a')
    assert [step.kind for step in action.steps] == [StepKind.statement]
    world.pass_time(0.3)
    world.update(phase=GroupPhase.frozen)
    world.finish(action)
    assert read not in world.replies


def test_without_a_lease_a_strict_read_runs_where_a_replaced_primary_refuses_it():
    """Entries that control cannot reach must not answer from the past."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes()
    read = world.ask(world.open('strict'), routed.READ)
    world.answer_probes()
    action = world.take()
    assert [step.kind for step in action.steps] == [
        StepKind.begin,
        StepKind.statement,
        StepKind.rollback,
    ]
    assert action.steps[0].sql == 'BEGIN'
    world.finish(action)
    assert isinstance(world.replies[read].outcome, Ran)


def test_a_read_only_transaction_that_needs_the_primary_is_a_plain_one_there():
    """A replaced primary goes on with read-only transactions."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes()
    session = world.open('strict')
    world.ask(session, routed.BEGIN_READ, 'BEGIN READ')
    world.ask(session, routed.READ)
    world.answer_probes()
    assert world.take().steps[0].sql == 'BEGIN'


def test_a_write_goes_where_an_instance_says_that_it_is_the_primary_without_a_lease():
    """Writes need no lease where a replaced primary refuses them by itself."""
    world = RoutedWorld()
    world.pass_time(_LEASE_ENDS_S)
    world.answer_probes(primary='c')
    write = world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    world.answer_probes(primary='c')
    action = world.take()
    assert action.target == key('c')
    world.finish(action)
    assert isinstance(world.replies[write].outcome, Ran)


def test_heads_of_a_former_primary_do_not_outlive_it():
    """They may count writes that the new primary does not have."""
    world = RoutedWorld()
    session = world.open('own')
    world.ask(session, routed.WRITE, 'WRITE x 1')
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
    write = world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    world.fail(world.take(), error)
    world.pass_time(0.2)
    world.finish(world.take())
    assert isinstance(world.replies[write].outcome, Ran)


def test_a_write_without_an_answer_is_in_doubt_and_never_sent_again():
    """It may have run, and twice would be once too often."""
    world = RoutedWorld()
    write = world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    world.lose(world.take())
    world.pass_time(0.3)
    assert isinstance(world.replies[write].outcome, MayHaveRun)
    assert not world.executions


def test_a_failure_of_the_instance_reaches_the_caller_as_it_is():
    """It ran, so it is no promise that nothing is kept."""
    world = RoutedWorld()
    write = world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    world.fail(world.take(), _FAILED)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, Ran)
    assert outcome.error == _FAILED


def test_a_write_that_waits_for_a_primary_ends_with_the_time_of_its_statement():
    """The refusal is true: nothing was sent."""
    world = RoutedWorld()
    world.update(phase=GroupPhase.frozen)
    write = world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    world.pass_time(routed.TIMEOUT_S + 0.01)
    outcome = world.replies[write].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.deadline


def test_a_transaction_begins_with_its_first_statement_and_keeps_its_connection():
    """No connection is held for a caller that has only begun."""
    world = RoutedWorld()
    session = world.open('strict')
    begin = world.ask(session, routed.BEGIN, 'BEGIN')
    assert world.replies[begin].transaction is TransactionState.open
    assert not world.executions
    write = world.ask(session, routed.WRITE, 'WRITE x 1')
    first = world.take()
    assert first.use is ConnectionUse.pin
    assert [step.statement_id for step in first.steps] == ['', f'q{write}']
    world.finish(first)
    commit = world.ask(session, routed.COMMIT, 'COMMIT')
    last = world.take()
    assert last.use is ConnectionUse.unpin
    assert last.steps[0].statement_id == f'q{commit}'
    world.finish(last, position=11)
    assert world.replies[commit].transaction is TransactionState.none


def test_a_commit_without_an_answer_is_in_doubt_only_if_something_was_written():
    """Nothing of a transaction that only read can be kept."""
    for statement, expected in ((routed.WRITE, MayHaveRun), (routed.READ, NotRun)):
        world = RoutedWorld()
        session = world.open('strict')
        world.ask(session, routed.BEGIN, 'BEGIN')
        world.ask(session, statement, 'x')
        world.finish(world.take())
        commit = world.ask(session, routed.COMMIT, 'COMMIT')
        world.lose(world.take())
        assert isinstance(world.replies[commit].outcome, expected)
        assert world.replies[commit].transaction is TransactionState.none


def test_a_transaction_whose_connection_broke_is_never_continued_on_another_one():
    """Its later statements would run on their own."""
    world = RoutedWorld()
    session = world.open('strict')
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, 'WRITE x 1')
    world.finish(world.take())
    world.step(entry.PinLost(session))
    write = world.ask(session, routed.WRITE, 'WRITE x 2')
    assert world.replies[write].outcome.reason is Reason.rolled_back
    assert not world.executions
    write = world.ask(session, routed.WRITE, 'WRITE x 3')
    assert world.take().use is ConnectionUse.shared


def test_the_first_statement_of_a_transaction_may_be_sent_again():
    """Nothing has been kept of an attempt that did not commit."""
    world = RoutedWorld()
    session = world.open('strict')
    world.ask(session, routed.BEGIN, 'BEGIN')
    write = world.ask(session, routed.WRITE, 'WRITE x 1')
    world.lose(world.take(), StepKind.begin)
    world.pass_time(0.2)
    world.finish(world.take())
    assert isinstance(world.replies[write].outcome, Ran)
    assert world.replies[write].transaction is TransactionState.open


def test_settings_and_prepared_statements_follow_the_session():
    """They belong to the session, whatever connection its statements get."""
    world = RoutedWorld()
    session, other = world.open('strict'), world.open('strict')
    setting = Statement(StatementKind.set_value, name='zone', text='a')
    prepare = Statement(StatementKind.prepare, name='s1', text='q2c', read_only=True)
    execute = Statement(StatementKind.execute, name='s1', text='1a4')
    for statement in (setting, prepare):
        assert isinstance(world.replies[world.ask(session, statement)].outcome, Ran)
    world.ask(session, execute)
    action = world.take()
    assert action.state.settings == (('zone', 'a'),)
    assert action.state.prepared.shape == 'q2c'
    assert action.steps[0].sql == '1a4'
    world.finish(action)
    unknown = world.ask(other, execute)
    assert world.replies[unknown].outcome.reason is Reason.unknown_statement
    world.ask(other, routed.READ)
    assert world.take().state == entry.SessionState()


def test_a_removed_route_serves_no_further_transaction_but_ends_the_open_one():
    """A change applies from the next transaction on."""
    world = RoutedWorld()
    session = world.open('strict')
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, 'WRITE x 1')
    world.finish(world.take())
    world.section = routed.make_routes('aged', version=2)
    world.update()
    world.ask(session, routed.WRITE, 'WRITE x 2')
    world.finish(world.take())
    world.ask(session, routed.COMMIT, 'COMMIT')
    world.finish(world.take())
    read = world.ask(session, routed.READ)
    assert world.replies[read].outcome.reason is Reason.unknown_group


def test_a_session_that_comes_before_the_configuration_waits_for_it():
    """A restarted entry is known to serve in a moment."""
    world = RoutedWorld(configured=False)
    session, unknown = world.open('aged'), world.open('nothing')
    assert not world.answers
    world.configure()
    assert world.answers[session].refusal is None
    assert world.answers[unknown].refusal.reason is Reason.unknown_group


def test_a_session_is_refused_if_no_configuration_comes():
    """The caller must hear of it before it gives up by itself."""
    world = RoutedWorld(configured=False)
    session = world.open('aged')
    world.pass_time(1.3)
    assert world.answers[session].refusal.reason is Reason.not_configured


def test_a_draining_entry_serves_until_the_balancer_knows_and_then_closes_idle_sessions():
    """A closed idle session is no failure, a cut request is one."""
    world = RoutedWorld()
    idle, busy = world.open('strict'), world.open('strict')
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.ask(busy, routed.BEGIN, 'BEGIN')
    world.ask(busy, routed.WRITE, 'WRITE x 1')
    world.finish(world.take())
    late = world.open('strict')
    assert world.answers[late].refusal is None
    assert not world.closed
    world.pass_time(2.01)
    assert set(world.closed) >= {idle, late}
    assert busy not in world.closed
    assert not world.drained
    commit = world.ask(busy, routed.COMMIT, 'COMMIT')
    world.finish(world.take())
    assert isinstance(world.replies[commit].outcome, Ran)
    world.pass_time(0.1)
    assert world.drained


def test_a_transaction_that_rests_while_the_entry_drains_is_rolled_back():
    """The process is killed a moment later anyway, and then without a word."""
    world = RoutedWorld()
    session = world.open('strict')
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, 'WRITE x 1')
    world.finish(world.take())
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.pass_time(3.01)
    assert session in world.released
    world.pass_time(0.1)
    assert world.drained


def test_a_leaving_primary_is_used_until_it_is_replaced_but_not_for_long():
    """Its writes have nowhere else to go, yet a leaving target gets no new work after 3 s."""
    for lease in (True, False):
        world = RoutedWorld()
        world.announce(leaving='a')
        if not lease:
            world.pass_time(_LEASE_ENDS_S)
            world.answer_probes()
        session = world.open('strict')
        first = world.ask(session, routed.WRITE, 'WRITE x 1')
        world.answer_probes()
        world.finish(world.take())
        assert isinstance(world.replies[first].outcome, Ran)
        world.pass_time(2.6)
        world.answer_probes()
        world.ask(session, routed.WRITE, 'WRITE x 2')
        world.answer_probes()
        assert not world.executions
