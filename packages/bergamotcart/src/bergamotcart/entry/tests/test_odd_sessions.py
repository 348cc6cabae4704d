"""Tests that odd input of one caller does not end the entry."""

from bergamotcart import entry
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.outcomes import Ran
from bergamotcart.statements import Statement, StatementKind

_MAX_CONNECTIONS = 1000


def test_prepared_text_that_is_not_utf8_is_passed_on():
    """One byte of a caller's PARSE ended the entry, with the sessions of all others."""
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    prepare = Statement(StatementKind.prepare, name='s', text='q\udcff2c', read_only=True)
    request = harness.send_statement(session, prepare, 'PARSE s READ q\udcff2c')
    assert isinstance(harness.replies[request].outcome, Ran)
    harness.send_statement(session, Statement(StatementKind.execute, name='s', text='1'), '')
    assert harness.next_execution().steps[0].prepared.shape == 'q\udcff2c'


def test_refused_session_over_connection_limit_is_not_released():
    """It was never counted, so the last session of its caller ended the entry when it closed."""
    harness = RoutedEntryHarness()
    sessions = [open_strict_session(harness) for _ in range(_MAX_CONNECTIONS)]
    sessions.append(harness.open_session('missing'))
    for session in sessions:
        harness.step(entry.SessionClosed(session))
    assert harness.engine.status(harness.now).sessions == 0
