"""Tests of statements that a full instance refuses inside a transaction."""

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import ErrorKind, NotRun, Ran, TargetError

_FULL = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
_PAUSE_S = 0.1


def _refuse(
    harness: RoutedEntryHarness, action: entry.Execute, *, is_transaction_open: bool = True
) -> None:
    harness.finish_execution(
        action,
        status=entry.ExecutionStatus.target_error,
        result=None,
        error=_FULL,
        failed_step=entry.StepKind.statement,
        is_transaction_open=is_transaction_open,
    )
    harness.advance(_PAUSE_S)


def _begin(harness: RoutedEntryHarness) -> tuple[int, int]:
    """Begin a transaction with a read; return the session and the request of the read."""
    session = harness.open_session('strict')
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    return session, harness.send_statement(session, routed.READ)


def test_first_statement_is_repeated_in_its_transaction():
    """The connection is neither closed nor opened again, which would cost a full instance more."""
    harness = RoutedEntryHarness()
    _, read = _begin(harness)
    _refuse(harness, harness.next_execution())
    repeated = harness.next_execution()
    assert repeated.use is entry.ConnectionUse.pinned
    assert [step.sql for step in repeated.steps] == ['READ x']
    harness.finish_execution(repeated)
    assert isinstance(harness.replies[read].outcome, Ran)
    assert not harness.released_pins


def test_later_statement_is_repeated_in_its_transaction():
    """One refused statement does not undo the work of the whole transaction."""
    harness = RoutedEntryHarness()
    session, _ = _begin(harness)
    harness.finish_execution(harness.next_execution())
    write = harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    _refuse(harness, harness.next_execution())
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[write].outcome, Ran)
    assert harness.replies[write].transaction is entry.TransactionState.open


def test_transaction_ends_after_attempts_of_route():
    """A statement that is refused as often as the route allows rolls its transaction back."""
    harness = RoutedEntryHarness()
    session, read = _begin(harness)
    _refuse(harness, harness.next_execution())
    _refuse(harness, harness.next_execution())
    assert isinstance(harness.replies[read].outcome, NotRun)
    assert harness.replies[read].transaction is entry.TransactionState.none
    assert harness.released_pins == [session]


def test_ended_transaction_is_not_continued():
    """If the refusal ended the transaction, a repeated statement would run outside it."""
    harness = RoutedEntryHarness()
    session, _ = _begin(harness)
    harness.finish_execution(harness.next_execution())
    write = harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    _refuse(harness, harness.next_execution(), is_transaction_open=False)
    assert not harness.executions
    assert isinstance(harness.replies[write].outcome, NotRun)


def test_statement_is_not_repeated_after_its_connection_broke():
    """A transaction that ends during the pause is over, and its caller learns so."""
    harness = RoutedEntryHarness()
    session, read = _begin(harness)
    harness.finish_execution(
        harness.next_execution(),
        status=entry.ExecutionStatus.target_error,
        result=None,
        error=_FULL,
        failed_step=entry.StepKind.statement,
        is_transaction_open=True,
    )
    harness.step(entry.PinLost(session))
    harness.advance(_PAUSE_S)
    assert not harness.executions
    assert isinstance(harness.replies[read].outcome, NotRun)
    assert harness.replies[read].transaction is entry.TransactionState.none
