"""Tests that an entry sends fewer reads to an instance that fails."""

from collections import Counter

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness


def _answer(harness: RoutedEntryHarness, action: entry.Execute, reads_of_b: Counter[bool]) -> None:
    """Answer an execution, but lose each second one of instance ``b``."""
    is_b = action.target.instance == 'b'
    reads_of_b[is_b] += 1
    if is_b and reads_of_b[is_b] % 2 == 0:
        harness.lose_connection(action)
    else:
        harness.finish_execution(action)


def test_failing_instance_of_own_zone_is_ejected():
    """Such an instance answers probes, and its low load attracts the reads that it loses."""
    harness = RoutedEntryHarness()
    harness.receive(harness.build_grant(harness.lease_requests[-1].sent_at, 1000, 10))
    sessions = [harness.open_session('aged') for _ in range(4)]
    reads_of_b: Counter[bool] = Counter()
    for number in range(400):
        if number == 300:
            reads_of_b.clear()
        harness.send_statement(sessions[number % len(sessions)], routed.READ)
        for _ in range(10):
            harness.advance(0.01)
            harness.answer_probes()
            while harness.executions:
                _answer(harness, harness.next_execution(), reads_of_b)
    assert reads_of_b[True] < 0.3 * reads_of_b.total()
    assert 'eject' in {each.action for each in harness.decisions}
