"""Tests that odd input of one caller does not end the entry."""

import pytest

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.outcomes import Ran, Reason
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


@pytest.mark.parametrize('is_begun', [False, True])
def test_unexpected_error_ends_only_its_session(is_begun):
    """It ended the entry, with the sessions of all other callers."""
    harness = RoutedEntryHarness()
    failing, other = (open_strict_session(harness) for _ in range(2))
    if is_begun:
        harness.send_statement(failing, routed.BEGIN, 'BEGIN')
        harness.send_statement(failing, routed.WRITE, 'WRITE x 1')
        harness.finish_execution(harness.next_execution())
    broken = Statement(StatementKind.prepare, name='s', text=None)
    request = harness.send_statement(failing, broken, 'PARSE s READ x')
    assert harness.replies[request].outcome.reason is Reason.internal_error
    assert harness.closed_sessions == [failing]
    assert (failing in harness.released_pins) == is_begun
    report = next(it for it in harness.decisions if it.reason == 'internal_error')
    assert (report.action, report.session) == ('end', failing)
    assert 'AttributeError' in report.detail
    harness.step(entry.SessionClosed(failing))
    read = harness.send_statement(other, routed.READ)
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[read].outcome, Ran)
