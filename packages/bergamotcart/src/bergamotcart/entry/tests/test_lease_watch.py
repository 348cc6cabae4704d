"""Tests of the log lines of an entry without a lease or without a route."""

from bergamotcart import messages
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness


def _find(harness: RoutedEntryHarness, action: str) -> list:
    return [decision for decision in harness.decisions if decision.action == action]


def test_entry_without_lease_reports_whom_it_asked():
    """Silence of control must be told apart from refusals that name another leader."""
    harness = RoutedEntryHarness()
    for _ in range(40):
        harness.advance(0.1)
    silent = _find(harness, 'lack')[0]
    assert 'asked control at control' in silent.detail
    assert '0 answers; no answer' in silent.detail
    sent_at = harness.lease_requests[-1].sent_at
    harness.receive(messages.LeaseRefusal(echo_sent_at=sent_at, leader='c2', leader_address='x:1'))
    for _ in range(60):
        harness.advance(0.1)
    assert '1 answers; refused, names c2 at x:1' in _find(harness, 'lack')[-1].detail
    harness.grant_lease()
    assert _find(harness, 'hold')[-1].detail.endswith('s without a lease')


def test_refusal_of_unknown_database_shows_age_of_state():
    """A refusal by an old state must be told apart from one by the current state."""
    harness = RoutedEntryHarness()
    harness.advance(5.0)
    harness.open_session('missing')
    # The session waits this long for a confirmation of the state.
    harness.advance(1.2)
    refusal = _find(harness, 'refuse')[0]
    assert refusal.detail == (
        f'missing; state index {harness.index}, known to be current 6.2 s ago; asked control'
    )
    assert harness.engine.status(harness.now + 1).state_age_s > 7
