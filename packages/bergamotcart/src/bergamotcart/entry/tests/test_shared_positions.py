"""Tests reads and probes that use the primary positions and suspects sent with lease grants."""

import pytest

from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import GROUP, RoutedEntryHarness, key
from bergamotcart.messages import EntryRow, GroupPhase

_MANY_ENTRIES = 64


def test_position_from_grant_serves_reads_without_probe():
    """Probes of all entries together would use up the slots of the primary."""
    harness = RoutedEntryHarness()
    harness.update(phase=GroupPhase.open, term=2)
    harness.probes.clear()
    harness.grant_lease(primary_position=40)
    harness.send_statement(harness.open_session('aged'), routed.READ)
    assert harness.next_execution().steps[0].floor == Position(1, 40)
    assert not harness.probes


def test_position_requested_before_term_is_ignored():
    """The position may be lower than what the new primary has."""
    harness = RoutedEntryHarness()
    harness.advance(0.3)
    harness.update(phase=GroupPhase.open, term=2)
    requested_earlier = harness.lease_requests[0].sent_at
    harness.receive(harness.build_grant(requested_earlier, primary_position=40))
    harness.send_statement(harness.open_session('aged'), routed.READ)
    assert not harness.executions


def test_targets_are_used_without_initial_probe():
    """Probing every target from every entry would overload the targets when entries start."""
    harness = RoutedEntryHarness()
    assert not harness.probes
    harness.send_statement(harness.open_session('strict'), routed.READ)
    assert harness.next_execution().target == key('a')


def test_suspected_primary_is_probed():
    """Control replaces a primary only if most entries report it as unreachable."""
    harness = RoutedEntryHarness()
    harness.grant_lease(suspects=(GROUP,))
    assert [probe.target for _, probe in harness.probes] == [key('a')]


def test_suspected_primary_is_not_probed_after_recent_answer():
    """The recent answer already shows that the primary is reachable."""
    harness = RoutedEntryHarness()
    harness.advance(0.25)
    harness.send_statement(harness.open_session('strict'), routed.READ)
    harness.finish_execution(harness.next_execution())
    harness.grant_lease(suspects=(GROUP,))
    assert not harness.probes


@pytest.mark.parametrize(('entries', 'max_probes'), [(1, 10), (_MANY_ENTRIES, 4)])
def test_probe_rate_of_lost_target_falls_with_entry_count(entries, max_probes):
    """Probes of many entries together would overload a target that has just come back."""
    harness = RoutedEntryHarness()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(entries)
    ]
    harness.update_entries(rows)
    harness.send_statement(harness.open_session('strict'), routed.READ)
    harness.lose_connection(harness.next_execution())
    probe_count = 0
    for _ in range(8):
        probe_count += len(harness.probes)
        harness.answer_probes(silent='abc')
        harness.grant_lease()
    assert 1 <= probe_count <= max_probes
