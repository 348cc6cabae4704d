"""Tests of the log lines and figures that explain how the attempts of a request ended."""

import pytest

from bergamotcart.actions import Decision
from bergamotcart.entry import ConnectionCount, ExecutionStatus
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, key
from bergamotcart.outcomes import ErrorKind, TargetError


def _decisions(harness: RoutedEntryHarness, system: str) -> list[Decision]:
    return [decision for decision in harness.decisions if decision.system == system]


def _only_decision(harness: RoutedEntryHarness, system: str) -> Decision:
    decisions = _decisions(harness, system)
    assert len(decisions) == 1
    return decisions[0]


@pytest.mark.parametrize('kind', [ErrorKind.not_run, ErrorKind.behind, ErrorKind.busy])
def test_failed_attempt_is_logged_with_its_cause(kind: ErrorKind):
    """A full instance, a replica that is behind and a full connection limit are told apart."""
    harness = RoutedEntryHarness()
    read = harness.send_statement(harness.open_session('aged'), routed.READ)
    harness.fail_execution(harness.next_execution(), TargetError(0, 'X', '', kind))
    decision = _only_decision(harness, 'attempts')
    assert (decision.reason, decision.request, decision.target) == (kind.value, read, 'b')
    assert decision.detail.startswith('attempt 1, target_error after 0.000 s')


def test_attempt_without_answer_is_logged():
    """An attempt that never got an answer is logged by how it ended."""
    harness = RoutedEntryHarness()
    harness.send_statement(harness.open_session('aged'), routed.READ)
    harness.lose_connection(harness.next_execution())
    assert [decision.reason for decision in _decisions(harness, 'attempts')] == [
        ExecutionStatus.lost.value
    ]


def test_pause_of_full_target_is_logged():
    """A pause changes what the entry believes of an instance."""
    harness = RoutedEntryHarness()
    harness.send_statement(harness.open_session('aged'), routed.READ)
    busy = TargetError(0, 'TOOMANY', '', ErrorKind.busy)
    harness.finish_execution(
        harness.next_execution(), status=ExecutionStatus.not_sent, result=None, error=busy
    )
    decision = _only_decision(harness, 'limits')
    assert (decision.action, decision.target) == ('pause', 'b')


def test_refusal_tells_attempts_and_time():
    """The line of a refusal tells a request that waited from one that was tried."""
    harness = RoutedEntryHarness()
    harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 1')
    action = harness.next_execution()
    harness.advance(0.25)
    harness.lose_connection(action)
    decision = _only_decision(harness, 'requests')
    assert decision.detail == 'may_have_run; 1 attempts in 0.250 s'


def test_connections_are_counted():
    """The number of opened connections shows whether they are kept or opened again and again."""
    harness = RoutedEntryHarness()
    for open_count in (1, 2, 1, 2):
        harness.step(ConnectionCount(key('b'), open_count))
    status = harness.engine.status(harness.now)
    assert (status.open_connections, status.opened_connections) == (2, 3)
