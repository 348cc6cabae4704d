"""Tests transactions, settings, opening and draining of sessions that use a route."""

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason
from bergamotcart.statements import Statement, StatementKind

_INSERT = 'WRITE x 1'


def test_first_statement_of_transaction_pins_connection():
    """A caller that has only sent BEGIN must hold no connection."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    begin = harness.send_statement(session, routed.BEGIN, 'BEGIN')
    assert harness.replies[begin].transaction is entry.TransactionState.open
    assert not harness.executions
    write = harness.send_statement(session, routed.WRITE, _INSERT)
    first = harness.next_execution()
    assert first.use is entry.ConnectionUse.pin
    assert [step.statement_id for step in first.steps] == ['', f'q{write}']
    harness.finish_execution(first)
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    last = harness.next_execution()
    assert last.use is entry.ConnectionUse.unpin
    assert last.steps[0].statement_id == f'q{commit}'
    harness.finish_execution(last, position=11)
    assert harness.replies[commit].transaction is entry.TransactionState.none


def test_unanswered_commit_is_in_doubt_only_after_write():
    """A transaction that has only read has no changes that COMMIT could have kept."""
    for statement, expected in ((routed.WRITE, MayHaveRun), (routed.READ, NotRun)):
        harness = RoutedEntryHarness()
        session = open_strict_session(harness)
        harness.send_statement(session, routed.BEGIN, 'BEGIN')
        harness.send_statement(session, statement, 'x')
        harness.finish_execution(harness.next_execution())
        commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
        harness.lose_connection(harness.next_execution())
        assert isinstance(harness.replies[commit].outcome, expected)
        assert harness.replies[commit].transaction is entry.TransactionState.none


def test_transaction_ends_with_its_connection():
    """On another connection, later statements would run outside the transaction."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    harness.step(entry.PinLost(session))
    write = harness.send_statement(session, routed.WRITE, 'WRITE x 2')
    assert harness.replies[write].outcome.reason is Reason.rolled_back
    assert not harness.executions
    write = harness.send_statement(session, routed.WRITE, 'WRITE x 3')
    assert harness.next_execution().use is entry.ConnectionUse.shared


def test_first_statement_of_transaction_is_retried():
    """An attempt that did not commit has kept no changes, so it may be repeated."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    write = harness.send_statement(session, routed.WRITE, _INSERT)
    harness.lose_connection(harness.next_execution(), entry.StepKind.begin)
    harness.advance(0.2)
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[write].outcome, Ran)
    assert harness.replies[write].transaction is entry.TransactionState.open


def test_execution_carries_session_settings_and_prepared_statement():
    """Both belong to the session, whichever connection its statements use."""
    harness = RoutedEntryHarness()
    session, other = open_strict_session(harness), open_strict_session(harness)
    setting = Statement(StatementKind.set_value, name='zone', text='a')
    prepare = Statement(StatementKind.prepare, name='s1', text='q2c', read_only=True)
    execute = Statement(StatementKind.execute, name='s1', text='1a4')
    for statement in (setting, prepare):
        assert isinstance(harness.replies[harness.send_statement(session, statement)].outcome, Ran)
    harness.send_statement(session, execute)
    action = harness.next_execution()
    assert action.state.settings == (('zone', 'a'),)
    assert action.state.prepared.shape == 'q2c'
    assert action.steps[0].sql == '1a4'
    harness.finish_execution(action)
    unknown = harness.send_statement(other, execute)
    assert harness.replies[unknown].outcome.reason is Reason.unknown_statement
    harness.send_statement(other, routed.READ)
    assert harness.next_execution().state == entry.SessionState()


def test_removed_route_serves_only_open_transaction():
    """A change of the routes applies from the next transaction on."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    harness.section = routed.make_routes('aged', version=2)
    harness.update()
    harness.send_statement(session, routed.WRITE, 'WRITE x 2')
    harness.finish_execution(harness.next_execution())
    harness.send_statement(session, routed.COMMIT, 'COMMIT')
    harness.finish_execution(harness.next_execution())
    read = harness.send_statement(session, routed.READ)
    assert harness.replies[read].outcome.reason is Reason.unknown_group


def test_session_waits_for_configuration():
    """A restarted entry receives its configuration shortly, so the session is not refused."""
    harness = RoutedEntryHarness(configured=False)
    session, unknown = harness.open_session('aged'), harness.open_session('nothing')
    assert not harness.session_answers
    harness.configure()
    assert harness.session_answers[session].refusal is None
    assert harness.session_answers[unknown].refusal.reason is Reason.unknown_group


def test_session_is_refused_without_configuration():
    """The refusal must reach the caller before its own connection time-out."""
    harness = RoutedEntryHarness(configured=False)
    session = harness.open_session('aged')
    harness.advance(1.3)
    assert harness.session_answers[session].refusal.reason is Reason.not_configured


def test_drain_closes_idle_sessions_after_notice():
    """Closing an idle session causes no failed request, but closing a busy one would."""
    harness = RoutedEntryHarness()
    idle, busy = open_strict_session(harness), open_strict_session(harness)
    harness.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    harness.send_statement(busy, routed.BEGIN, 'BEGIN')
    harness.send_statement(busy, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    late = open_strict_session(harness)
    assert harness.session_answers[late].refusal is None
    assert not harness.closed_sessions
    harness.advance(2.01)
    assert set(harness.closed_sessions) >= {idle, late}
    assert busy not in harness.closed_sessions
    assert not harness.drained
    commit = harness.send_statement(busy, routed.COMMIT, 'COMMIT')
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[commit].outcome, Ran)
    harness.advance(0.1)
    assert harness.drained


def test_drain_limit_rolls_back_open_transaction():
    """The process is killed soon after the limit, which would leave the caller without a reply."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    harness.step(entry.DrainRequested(notice_s=2.0, limit_s=3.0))
    harness.advance(3.01)
    assert session in harness.released_pins
    harness.advance(0.1)
    assert harness.drained
