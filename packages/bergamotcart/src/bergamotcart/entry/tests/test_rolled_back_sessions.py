"""Tests of transactions that end while their callers rely on them."""

import pytest

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.outcomes import Ran, Reason

_INSERT = 'WRITE x 1'
_KEY = 'client'
_MYSQL_SESSION = 101


def _withdraw_key(harness: RoutedEntryHarness, *, is_given_back: bool) -> None:
    for held in ('other', _KEY)[: 1 + is_given_back]:
        harness.more_sections = (routed.make_workspaces(north=held),)
        harness.update()


def _open_transaction(harness: RoutedEntryHarness) -> int:
    """Return a session with an open transaction whose first statement was answered."""
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    return session


def _send_to_mysql_session(harness: RoutedEntryHarness, request: int, sql: str) -> entry.Reply:
    harness.step(entry.RequestArrived(request, _MYSQL_SESSION, sql))
    if harness.executions:
        harness.finish_execution(harness.next_execution())
    return harness.replies[request]


def test_transaction_is_not_begun_anew_at_the_drain_limit():
    """A caller went on inside a transaction whose COMMIT was then refused.

    The transaction was rolled back while its first statement ran, and the statement was repeated
    in a new one, although the session was marked as rolled back.
    """
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    write = harness.send_statement(session, routed.WRITE, _INSERT)
    first = harness.next_execution()
    harness.step(entry.DrainRequested(notice_s=0.1, limit_s=0.2))
    harness.advance(0.3)
    assert harness.released_pins == [session]
    harness.lose_connection(first)
    harness.advance(0.5)
    assert not harness.executions
    assert harness.replies[write].outcome.reason is Reason.rolled_back
    assert harness.replies[write].transaction is entry.TransactionState.none


def test_repeated_begin_belongs_to_its_session():
    """A transaction that lost its connection before its first answer is begun anew.

    Its session stayed marked as rolled back, so that the COMMIT was refused.
    """
    harness = RoutedEntryHarness()
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    write = harness.send_statement(session, routed.WRITE, _INSERT)
    first = harness.next_execution()
    harness.step(entry.PinLost(session))
    harness.lose_connection(first)
    harness.advance(0.5)
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[write].outcome, Ran)
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    harness.finish_execution(harness.next_execution(), position=11)
    assert isinstance(harness.replies[commit].outcome, Ran)


@pytest.mark.parametrize(
    ('begin', 'statement'), [(routed.BEGIN, routed.WRITE), (routed.BEGIN_READ, routed.READ)]
)
def test_begun_transaction_outlasts_a_key_that_is_withdrawn_and_given_back(begin, statement):
    """A write was committed on its own, and the ROLLBACK after it was answered with success."""
    harness = RoutedEntryHarness()
    _withdraw_key(harness, is_given_back=True)
    session = open_strict_session(harness)
    harness.send_statement(session, begin, 'BEGIN')
    _withdraw_key(harness, is_given_back=True)
    first = harness.send_statement(session, statement, _INSERT)
    sent = harness.next_execution()
    assert sent.use is entry.ConnectionUse.pin
    assert sent.steps[0].kind is entry.StepKind.begin
    harness.finish_execution(sent)
    assert harness.replies[first].transaction is entry.TransactionState.open


def test_first_statement_is_not_repeated_outside_its_transaction():
    """A read was repeated on its own if its key was withdrawn and given back while it ran."""
    harness = RoutedEntryHarness()
    _withdraw_key(harness, is_given_back=True)
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN_READ, 'BEGIN')
    harness.send_statement(session, routed.READ)
    first = harness.next_execution()
    _withdraw_key(harness, is_given_back=True)
    harness.lose_connection(first)
    harness.advance(0.5)
    assert harness.next_execution().use is entry.ConnectionUse.pin


def test_session_is_not_closed_before_its_caller_knows_of_a_rollback():
    """The caller saw its connection close, and could not tell whether its COMMIT had run."""
    harness = RoutedEntryHarness()
    _withdraw_key(harness, is_given_back=True)
    session = _open_transaction(harness)
    harness.step(entry.PinLost(session))
    _withdraw_key(harness, is_given_back=False)
    assert not harness.closed_sessions
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    assert harness.replies[commit].outcome.reason is Reason.unauthenticated
    assert harness.replies[commit].transaction is entry.TransactionState.none


def test_drain_waits_until_the_caller_knows_of_a_rollback():
    """The sessions of transactions that had ended by themselves were closed as idle."""
    harness = RoutedEntryHarness()
    session = _open_transaction(harness)
    harness.step(entry.PinLost(session))
    harness.step(entry.DrainRequested(notice_s=0.1, limit_s=3.0))
    harness.advance(0.3)
    assert not harness.closed_sessions
    assert not harness.drained
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    assert harness.replies[commit].outcome.reason is Reason.rolled_back
    harness.advance(0.1)
    assert session in harness.closed_sessions
    assert harness.drained


def test_refusal_for_want_of_a_key_does_not_end_a_mysql_transaction():
    """An error that says nothing of a rollback ended it, and the next INSERT ran on its own."""
    harness = RoutedEntryHarness()
    _withdraw_key(harness, is_given_back=True)
    harness.step(entry.SessionOpened(_MYSQL_SESSION, _KEY, routed.GROUP))
    for request, sql in ((201, 'BEGIN'), (202, 'INSERT INTO t VALUES (1)')):
        assert isinstance(_send_to_mysql_session(harness, request, sql).outcome, Ran)
    _withdraw_key(harness, is_given_back=False)
    refused = _send_to_mysql_session(harness, 203, 'INSERT INTO t VALUES (2)')
    assert refused.outcome.reason is Reason.unauthenticated
    _withdraw_key(harness, is_given_back=True)
    late = _send_to_mysql_session(harness, 204, 'INSERT INTO t VALUES (3)')
    assert late.outcome.reason is Reason.rolled_back
    assert isinstance(_send_to_mysql_session(harness, 205, 'ROLLBACK').outcome, Ran)


def test_failed_begin_does_not_hide_a_rollback_of_a_mysql_transaction():
    """After the error of the second BEGIN, the INSERT of the first transaction ran on its own."""
    harness = RoutedEntryHarness()
    harness.step(entry.SessionOpened(_MYSQL_SESSION, _KEY, routed.GROUP))
    _send_to_mysql_session(harness, 201, 'BEGIN')
    harness.step(entry.PinLost(_MYSQL_SESSION))
    harness.update(phase=routed.messages.GroupPhase.frozen)
    harness.step(entry.RequestArrived(202, _MYSQL_SESSION, 'BEGIN'))
    harness.advance(10.0)
    assert harness.replies[202].outcome.reason is Reason.deadline
    harness.grant_lease(primary_position=10)
    harness.update(phase=routed.messages.GroupPhase.open)
    late = _send_to_mysql_session(harness, 203, 'INSERT INTO t VALUES (1)')
    assert late.outcome.reason is Reason.rolled_back
