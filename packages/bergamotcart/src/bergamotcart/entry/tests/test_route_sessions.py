"""Tests transactions, settings, opening and draining of sessions that use a route."""

from bergamotcart import entry
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, open_strict_session
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason
from bergamotcart.statements import Statement, StatementKind

_INSERT = 'WRITE x 1'


def test_first_statement_of_transaction_pins_connection():
    """A caller that has only sent BEGIN must hold no connection."""
    world = RoutedWorld()
    session = open_strict_session(world)
    begin = world.send_statement(session, routed.BEGIN, 'BEGIN')
    assert world.replies[begin].transaction is entry.TransactionState.open
    assert not world.executions
    write = world.send_statement(session, routed.WRITE, _INSERT)
    first = world.next_execution()
    assert first.use is entry.ConnectionUse.pin
    assert [step.statement_id for step in first.steps] == ['', f'q{write}']
    world.finish_execution(first)
    commit = world.send_statement(session, routed.COMMIT, 'COMMIT')
    last = world.next_execution()
    assert last.use is entry.ConnectionUse.unpin
    assert last.steps[0].statement_id == f'q{commit}'
    world.finish_execution(last, position=11)
    assert world.replies[commit].transaction is entry.TransactionState.none


def test_unanswered_commit_is_in_doubt_only_after_write():
    """A transaction that has only read has no changes that COMMIT could have kept."""
    for statement, expected in ((routed.WRITE, MayHaveRun), (routed.READ, NotRun)):
        world = RoutedWorld()
        session = open_strict_session(world)
        world.send_statement(session, routed.BEGIN, 'BEGIN')
        world.send_statement(session, statement, 'x')
        world.finish_execution(world.next_execution())
        commit = world.send_statement(session, routed.COMMIT, 'COMMIT')
        world.lose_connection(world.next_execution())
        assert isinstance(world.replies[commit].outcome, expected)
        assert world.replies[commit].transaction is entry.TransactionState.none


def test_transaction_ends_with_its_connection():
    """On another connection, later statements would run outside the transaction."""
    world = RoutedWorld()
    session = open_strict_session(world)
    world.send_statement(session, routed.BEGIN, 'BEGIN')
    world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution())
    world.step(entry.PinLost(session))
    write = world.send_statement(session, routed.WRITE, 'WRITE x 2')
    assert world.replies[write].outcome.reason is Reason.rolled_back
    assert not world.executions
    write = world.send_statement(session, routed.WRITE, 'WRITE x 3')
    assert world.next_execution().use is entry.ConnectionUse.shared


def test_first_statement_of_transaction_is_retried():
    """An attempt that did not commit has kept no changes, so it may be repeated."""
    world = RoutedWorld()
    session = open_strict_session(world)
    world.send_statement(session, routed.BEGIN, 'BEGIN')
    write = world.send_statement(session, routed.WRITE, _INSERT)
    world.lose_connection(world.next_execution(), entry.StepKind.begin)
    world.advance(0.2)
    world.finish_execution(world.next_execution())
    assert isinstance(world.replies[write].outcome, Ran)
    assert world.replies[write].transaction is entry.TransactionState.open


def test_execution_carries_session_settings_and_prepared_statement():
    """Both belong to the session, whichever connection its statements use."""
    world = RoutedWorld()
    session, other = open_strict_session(world), open_strict_session(world)
    setting = Statement(StatementKind.set_value, name='zone', text='a')
    prepare = Statement(StatementKind.prepare, name='s1', text='q2c', read_only=True)
    execute = Statement(StatementKind.execute, name='s1', text='1a4')
    for statement in (setting, prepare):
        assert isinstance(world.replies[world.send_statement(session, statement)].outcome, Ran)
    world.send_statement(session, execute)
    action = world.next_execution()
    assert action.state.settings == (('zone', 'a'),)
    assert action.state.prepared.shape == 'q2c'
    assert action.steps[0].sql == '1a4'
    world.finish_execution(action)
    unknown = world.send_statement(other, execute)
    assert world.replies[unknown].outcome.reason is Reason.unknown_statement
    world.send_statement(other, routed.READ)
    assert world.next_execution().state == entry.SessionState()


def test_removed_route_serves_only_open_transaction():
    """A change of the routes applies from the next transaction on."""
    world = RoutedWorld()
    session = open_strict_session(world)
    world.send_statement(session, routed.BEGIN, 'BEGIN')
    world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution())
    world.section = routed.make_routes('aged', version=2)
    world.update()
    world.send_statement(session, routed.WRITE, 'WRITE x 2')
    world.finish_execution(world.next_execution())
    world.send_statement(session, routed.COMMIT, 'COMMIT')
    world.finish_execution(world.next_execution())
    read = world.send_statement(session, routed.READ)
    assert world.replies[read].outcome.reason is Reason.unknown_group


def test_session_waits_for_configuration():
    """A restarted entry receives its configuration shortly, so the session is not refused."""
    world = RoutedWorld(configured=False)
    session, unknown = world.open_session('aged'), world.open_session('nothing')
    assert not world.session_answers
    world.configure()
    assert world.session_answers[session].refusal is None
    assert world.session_answers[unknown].refusal.reason is Reason.unknown_group


def test_session_is_refused_without_configuration():
    """The refusal must reach the caller before its own connection time-out."""
    world = RoutedWorld(configured=False)
    session = world.open_session('aged')
    world.advance(1.3)
    assert world.session_answers[session].refusal.reason is Reason.not_configured


def test_drain_closes_idle_sessions_after_notice():
    """Closing an idle session causes no failed request, but closing a busy one would."""
    world = RoutedWorld()
    idle, busy = open_strict_session(world), open_strict_session(world)
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.send_statement(busy, routed.BEGIN, 'BEGIN')
    world.send_statement(busy, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution())
    late = open_strict_session(world)
    assert world.session_answers[late].refusal is None
    assert not world.closed_sessions
    world.advance(2.01)
    assert set(world.closed_sessions) >= {idle, late}
    assert busy not in world.closed_sessions
    assert not world.drained
    commit = world.send_statement(busy, routed.COMMIT, 'COMMIT')
    world.finish_execution(world.next_execution())
    assert isinstance(world.replies[commit].outcome, Ran)
    world.advance(0.1)
    assert world.drained


def test_drain_limit_rolls_back_open_transaction():
    """The process is killed soon after the limit, which would leave the caller without a reply."""
    world = RoutedWorld()
    session = open_strict_session(world)
    world.send_statement(session, routed.BEGIN, 'BEGIN')
    world.send_statement(session, routed.WRITE, _INSERT)
    world.finish_execution(world.next_execution())
    world.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    world.advance(3.01)
    assert session in world.released_pins
    world.advance(0.1)
    assert world.drained
