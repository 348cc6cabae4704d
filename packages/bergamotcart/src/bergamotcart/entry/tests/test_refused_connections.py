"""Tests of requests while instances refuse connections that they will probably accept soon."""

from bergamotcart.entry import ConnectionCount, Execute, ExecutionFinished, ExecutionStatus
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, key
from bergamotcart.messages import EntryRow
from bergamotcart.outcomes import ErrorKind, Ran, TargetError

_BUSY = TargetError(0, 'TOOMANY', 'full', ErrorKind.busy)


def _harness_with_ten_entries() -> RoutedEntryHarness:
    """Return an entry that shares the few connections of each instance with nine others."""
    harness = RoutedEntryHarness()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(10)
    ]
    harness.update_entries(rows)
    harness.advance(0.3)
    return harness


def _refuse(harness: RoutedEntryHarness, action: Execute) -> None:
    status = ExecutionStatus.not_sent
    harness.step(ExecutionFinished(execution_id=action.execution_id, status=status, error=_BUSY))


def _last_limit(harness: RoutedEntryHarness) -> int:
    """Return the connection limit that was last set for the primary."""
    return [limit.limit for limit in harness.limits if limit.target == key('a')][-1]


def test_request_waits_for_connection_that_is_expected_soon():
    """A refusal would use up a retry of the caller, although the target accepts it shortly."""
    harness = _harness_with_ten_entries()
    request = harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 1')
    for _ in range(6):
        _refuse(harness, harness.next_execution())
        harness.advance(0.1)
    assert request not in harness.replies
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[request].outcome, Ran)


def test_waiting_read_tries_each_full_instance_again():
    """A read that waits for one instance would miss the connection that another one accepts."""
    harness = _harness_with_ten_entries()
    read = harness.send_statement(harness.open_session('aged'), routed.READ)
    tried = []
    for _ in range(80):
        if harness.executions:
            action = harness.next_execution()
            tried.append(action.target)
            _refuse(harness, action)
        harness.advance(0.005)
    assert set(tried[3:]) == {key(name) for name in 'abc'}
    assert read not in harness.replies


def test_first_connection_restores_connection_limit():
    """Refusals for the connections of dead processes say nothing about the entry's own share."""
    harness = _harness_with_ten_entries()
    before = _last_limit(harness)
    harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 1')
    for _ in range(2):
        _refuse(harness, harness.next_execution())
        harness.advance(0.26)
    assert _last_limit(harness) < before
    harness.finish_execution(harness.next_execution())
    harness.advance(0.26)
    assert _last_limit(harness) == before


def test_transactions_leave_one_connection_to_single_statements():
    """Idle transactions on all connections of an entry would hold up every single statement."""
    harness = _harness_with_ten_entries()
    for number in range(3):
        session = harness.open_session('strict')
        harness.send_statement(session, routed.BEGIN)
        harness.send_statement(session, routed.WRITE, f'WRITE x {number}')
        harness.advance(0.01)
        if harness.executions:
            harness.step(ConnectionCount(key('a'), number + 1))
            harness.finish_execution(harness.next_execution())
    assert not harness.executions
    write = harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 9')
    assert harness.next_execution().request_id == write
