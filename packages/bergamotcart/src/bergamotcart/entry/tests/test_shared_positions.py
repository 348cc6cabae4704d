"""Tests reads and probes that use the primary positions and suspects sent with lease grants."""

import pytest

from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import GROUP, RoutedWorld, key
from bergamotcart.messages import EntryRow, GroupPhase

_MANY_ENTRIES = 64


def test_position_from_grant_serves_reads_without_probe():
    """Probes of all entries together would use up the slots of the primary."""
    world = RoutedWorld()
    world.update(phase=GroupPhase.open, term=2)
    world.probes.clear()
    world.grant_lease(primary_position=40)
    world.send_statement(world.open_session('aged'), routed.READ)
    assert world.next_execution().steps[0].floor == Position(1, 40)
    assert not world.probes


def test_position_requested_before_term_is_ignored():
    """The position may be lower than what the new primary has."""
    world = RoutedWorld()
    world.advance(0.3)
    world.update(phase=GroupPhase.open, term=2)
    requested_earlier = world.lease_requested_at[0]
    world.receive(world.build_grant(requested_earlier, primary_position=40))
    world.send_statement(world.open_session('aged'), routed.READ)
    assert not world.executions


def test_targets_are_used_without_initial_probe():
    """Probing every target from every entry would overload the targets when entries start."""
    world = RoutedWorld()
    assert not world.probes
    world.send_statement(world.open_session('strict'), routed.READ)
    assert world.next_execution().target == key('a')


def test_suspected_primary_is_probed():
    """Control replaces a primary only if most entries report it as unreachable."""
    world = RoutedWorld()
    world.grant_lease(suspects=(GROUP,))
    assert [probe.target for _, probe in world.probes] == [key('a')]


def test_suspected_primary_is_not_probed_after_recent_answer():
    """The recent answer already shows that the primary is reachable."""
    world = RoutedWorld()
    world.advance(0.25)
    world.send_statement(world.open_session('strict'), routed.READ)
    world.finish_execution(world.next_execution())
    world.grant_lease(suspects=(GROUP,))
    assert not world.probes


@pytest.mark.parametrize(('entries', 'max_probes'), [(1, 10), (_MANY_ENTRIES, 4)])
def test_probe_rate_of_lost_target_falls_with_entry_count(entries, max_probes):
    """Probes of many entries together would overload a target that has just come back."""
    world = RoutedWorld()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(entries)
    ]
    world.update_entries(rows)
    world.send_statement(world.open_session('strict'), routed.READ)
    world.lose_connection(world.next_execution())
    probe_count = 0
    for _ in range(8):
        probe_count += len(world.probes)
        world.answer_probes(silent='abc')
        world.grant_lease()
    assert 1 <= probe_count <= max_probes
