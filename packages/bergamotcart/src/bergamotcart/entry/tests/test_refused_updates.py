"""Tests that an entry that cannot apply an update of its state does not stay behind."""

import msgspec
import pytest

from bergamotcart import messages
from bergamotcart.entry import EntryHealth
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, open_strict_session
from bergamotcart.outcomes import Reason


def _receive_partial_update(harness: RoutedEntryHarness, gap: int, body: str | None) -> None:
    """Deliver an update that starts some records after the applied state."""
    section = harness.section
    if body is not None:
        section = msgspec.structs.replace(section, body=body)
    from_index = harness.index + gap
    harness.index = from_index + 1
    harness.receive(
        messages.StateUpdate(
            control_term=1,
            from_index=from_index,
            to_index=harness.index,
            revision=harness.index,
            entries_limit=1,
            sections=(section,),
        )
    )


def _assert_refused(harness: RoutedEntryHarness, session: int) -> None:
    refusal = harness.session_answers[session].refusal
    assert refusal.reason is Reason.configuration_unconfirmed
    assert refusal.retry_after


@pytest.mark.parametrize(('gap', 'body'), [(0, '{"routes": 1}'), (1, None)])
def test_refused_update_is_replaced_by_the_whole_state(gap, body):
    """The leader would send the same rows again with each renewal, and none would be applied."""
    harness = RoutedEntryHarness()
    _receive_partial_update(harness, gap, body)
    harness.grant_lease()
    assert harness.lease_requests[-1].needs_whole_state
    harness.update()
    harness.grant_lease()
    assert not harness.lease_requests[-1].needs_whole_state


def test_whole_state_is_requested_sparingly():
    """A state that this version cannot read must not be sent with each renewal."""
    harness = RoutedEntryHarness()
    harness.section = msgspec.structs.replace(harness.section, body='{"routes": 1}')
    for _ in range(10):
        _receive_partial_update(harness, 0, None)
        harness.grant_lease()
        harness.update()
    requests = [request.needs_whole_state for request in harness.lease_requests]
    assert 1 <= requests.count(True) <= 3


def test_entry_that_stays_behind_serves_only_while_cut_off():
    """A route may have been dropped by the update that a reachable entry fails to apply."""
    harness = RoutedEntryHarness()
    harness.index += 1
    for _ in range(10):
        harness.grant_lease()
    assert harness.engine.status(harness.now).health is EntryHealth.not_ready
    _assert_refused(harness, open_strict_session(harness))
    harness.advance(1.3)
    assert harness.engine.status(harness.now).health is EntryHealth.serving
    session = open_strict_session(harness)
    assert harness.session_answers[session].refusal is None
    harness.grant_lease()
    _assert_refused(harness, open_strict_session(harness))
    read = harness.send_statement(session, routed.READ)
    assert harness.replies[read].outcome.reason is Reason.configuration_unconfirmed
    harness.update()
    assert harness.engine.status(harness.now).health is EntryHealth.serving


def test_entry_serves_while_each_change_arrives_shortly_after_its_grant():
    """During a series of changes, an entry that applied all but the newest one counted as behind."""
    harness = RoutedEntryHarness()
    for _ in range(12):
        harness.index += 2
        harness.grant_lease()
        harness.index -= 2
        harness.update()
        assert harness.engine.status(harness.now).health is EntryHealth.serving


def test_entry_that_stays_behind_says_so():
    """The log tells since which index the entry is behind, once."""
    harness = RoutedEntryHarness()
    harness.index += 1
    for _ in range(12):
        harness.grant_lease()
    harness.update()
    decisions = [decision for decision in harness.decisions if decision.system == 'state']
    reasons = [decision.reason for decision in decisions]
    assert reasons.count('behind') == 1
    assert reasons.index('caught_up') > reasons.index('behind')


def test_starting_entry_is_not_reported_as_behind():
    """Its first update may come before its first grant, and be outdated by then."""
    harness = RoutedEntryHarness(configured=False)
    harness.update()
    harness.index += 1
    harness.grant_lease()
    assert 'behind' not in {decision.reason for decision in harness.decisions}
