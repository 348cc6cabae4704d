"""Tests of requests that find no retry left in the budgets."""

from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import NotRun, Reason

_LOST_READS = 30
_BACKOFF_S = 0.02
_SHORTEST_OBJECTIVE_S = 0.25


def _lose_reads(harness: RoutedEntryHarness) -> list[NotRun]:
    """Send reads whose connections all break, and return their refusals."""
    requests = []
    for _ in range(_LOST_READS):
        requests.append(harness.send_statement(harness.open_session('strict'), routed.READ))
        while harness.executions:
            harness.lose_connection(harness.next_execution())
            harness.advance(_BACKOFF_S)
    outcomes = [harness.replies[each].outcome for each in requests if each in harness.replies]
    return [outcome for outcome in outcomes if isinstance(outcome, NotRun)]


def test_lost_answers_let_callers_return_within_their_objectives() -> None:
    """A constant of 1 s made reads late that another instance could have answered at once."""
    refusals = [
        refusal
        for refusal in _lose_reads(RoutedEntryHarness())
        if refusal.reason is Reason.retry_budget
    ]
    times_s = {refusal.retry_after for refusal in refusals}
    assert len(refusals) > 1
    assert max(times_s) <= _SHORTEST_OBJECTIVE_S
    assert len(times_s) == len(refusals)
