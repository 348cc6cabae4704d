"""Guards reads and probes that rely on what control was told by the primaries."""

import pytest

from bergamotcart.discovery import Position
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import GROUP, RoutedWorld, key
from bergamotcart.messages import EntryRow, GroupPhase

_CROWD = 64


def test_a_head_that_comes_with_the_lease_serves_reads_without_a_probe():
    """Probes of all entries together would fill the slots of the primary."""
    world = RoutedWorld()
    world.update(phase=GroupPhase.open, term=2)
    world.probes.clear()
    world.grant(head=40)
    world.ask(world.open('aged'), routed.READ)
    assert world.take().steps[0].floor == Position(1, 40)
    assert not world.probes


def test_a_head_that_was_asked_for_before_the_term_proves_nothing():
    """It may lack what the new primary has."""
    world = RoutedWorld()
    world.pass_time(0.3)
    world.update(phase=GroupPhase.open, term=2)
    asked_earlier = world.asked_at[0]
    world.receive(world.build_grant(asked_earlier, head=40))
    world.ask(world.open('aged'), routed.READ)
    assert not world.executions


def test_targets_are_used_before_anything_is_known_of_them():
    """A probe of each target by each entry would be a stampede at every start."""
    world = RoutedWorld()
    assert not world.probes
    world.ask(world.open('strict'), routed.READ)
    assert world.take().target == key('a')


def test_a_primary_that_others_cannot_reach_is_looked_at():
    """Control replaces a primary only if most entries cannot reach it."""
    world = RoutedWorld()
    world.grant(suspects=(GROUP,))
    assert [probe.target for _, probe in world.probes] == [key('a')]


def test_a_primary_that_has_just_answered_is_not_looked_at():
    """The answer says more than a probe would."""
    world = RoutedWorld()
    world.pass_time(0.25)
    world.ask(world.open('strict'), routed.READ)
    world.finish(world.take())
    world.grant(suspects=(GROUP,))
    assert not world.probes


@pytest.mark.parametrize(('entries', 'most'), [(1, 10), (_CROWD, 4)])
def test_many_entries_probe_a_lost_target_seldom(entries, most):
    """Together they would keep a target busy that has just come back."""
    world = RoutedWorld()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(entries)
    ]
    world.update_entries(rows)
    world.ask(world.open('strict'), routed.READ)
    world.lose(world.take())
    seen = 0
    for _ in range(8):
        seen += len(world.probes)
        world.answer_probes(silent='abc')
        world.grant()
    assert 1 <= seen <= most
