"""Guards transactions, settings and the drain of sessions that use a route."""

from bergamotcart import entry
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, open_strict
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason
from bergamotcart.statements import Statement, StatementKind

_INSERT = 'WRITE x 1'


def test_a_transaction_gets_its_connection_with_its_first_statement():
    """No connection is held for a caller that has only begun."""
    world = RoutedWorld()
    session = open_strict(world)
    begin = world.ask(session, routed.BEGIN, 'BEGIN')
    assert world.replies[begin].transaction is entry.TransactionState.open
    assert not world.executions
    write = world.ask(session, routed.WRITE, _INSERT)
    first = world.take()
    assert first.use is entry.ConnectionUse.pin
    assert [step.statement_id for step in first.steps] == ['', f'q{write}']
    world.finish(first)
    commit = world.ask(session, routed.COMMIT, 'COMMIT')
    last = world.take()
    assert last.use is entry.ConnectionUse.unpin
    assert last.steps[0].statement_id == f'q{commit}'
    world.finish(last, position=11)
    assert world.replies[commit].transaction is entry.TransactionState.none


def test_a_commit_without_an_answer_is_in_doubt_only_after_a_write():
    """Nothing of a transaction that only read can be kept."""
    for statement, expected in ((routed.WRITE, MayHaveRun), (routed.READ, NotRun)):
        world = RoutedWorld()
        session = open_strict(world)
        world.ask(session, routed.BEGIN, 'BEGIN')
        world.ask(session, statement, 'x')
        world.finish(world.take())
        commit = world.ask(session, routed.COMMIT, 'COMMIT')
        world.lose(world.take())
        assert isinstance(world.replies[commit].outcome, expected)
        assert world.replies[commit].transaction is entry.TransactionState.none


def test_a_transaction_is_never_continued_on_another_connection():
    """Its later statements would run on their own."""
    world = RoutedWorld()
    session = open_strict(world)
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, _INSERT)
    world.finish(world.take())
    world.step(entry.PinLost(session))
    write = world.ask(session, routed.WRITE, 'WRITE x 2')
    assert world.replies[write].outcome.reason is Reason.rolled_back
    assert not world.executions
    write = world.ask(session, routed.WRITE, 'WRITE x 3')
    assert world.take().use is entry.ConnectionUse.shared


def test_the_first_statement_of_a_transaction_may_be_sent_again():
    """Nothing has been kept of an attempt that did not commit."""
    world = RoutedWorld()
    session = open_strict(world)
    world.ask(session, routed.BEGIN, 'BEGIN')
    write = world.ask(session, routed.WRITE, _INSERT)
    world.lose(world.take(), entry.StepKind.begin)
    world.pass_time(0.2)
    world.finish(world.take())
    assert isinstance(world.replies[write].outcome, Ran)
    assert world.replies[write].transaction is entry.TransactionState.open


def test_settings_and_prepared_statements_follow_the_session():
    """They belong to the session, whatever connection its statements get."""
    world = RoutedWorld()
    session, other = open_strict(world), open_strict(world)
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
    session = open_strict(world)
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, _INSERT)
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


def test_a_draining_entry_serves_on_and_then_closes_idle_sessions():
    """A closed idle session is no failure, a cut request is one."""
    world = RoutedWorld()
    idle, busy = open_strict(world), open_strict(world)
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.ask(busy, routed.BEGIN, 'BEGIN')
    world.ask(busy, routed.WRITE, _INSERT)
    world.finish(world.take())
    late = open_strict(world)
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
    session = open_strict(world)
    world.ask(session, routed.BEGIN, 'BEGIN')
    world.ask(session, routed.WRITE, _INSERT)
    world.finish(world.take())
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.pass_time(3.01)
    assert session in world.released
    world.pass_time(0.1)
    assert world.drained
