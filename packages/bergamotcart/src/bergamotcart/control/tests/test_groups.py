"""Guards against a primary that is replaced without need, too late, or with a loss."""

import pytest

from bergamotcart import messages
from bergamotcart.control._placement import count_required_answers
from bergamotcart.control._quotas import count_lendable
from bergamotcart.control.tests import _fakes as fakes
from bergamotcart.control.tests._world import World
from bergamotcart.control.tests.test_engine import DOCUMENT, change, is_open, start

NEEDED = ((1, 1), (2, 2), (3, 2), (5, 4))
LENDABLE = (
    (35, 9, 9, 8),
    (45, 9, 3, 0),
    (35, 9, 10, 5),
    (5, 9, 2, 0),
)


def lose(world: World, *names: str) -> None:
    """Kill instances."""
    for name in names:
        world.targets[name].alive = False


def find(world: World, action: str, reason: str) -> bool:
    """Tell whether control published a decision."""
    return any(
        decision.action == action and decision.reason == reason for decision in world.decisions
    )


def replicas(world: World) -> list[str]:
    """Return the names of the instances that are not the primary."""
    return [name for name in world.targets if name != world.group.primary]


def test_a_leaving_primary_is_replaced_only_after_a_replica_has_caught_up():
    """A planned replacement must not discard what the primary still has to send."""
    world = start()
    world.run(0.5)
    first = world.targets[world.group.primary]
    for name in replicas(world):
        world.targets[name].lagging = True
    first.log.append((1, 'late'))
    first.leaving = True
    world.run(1.5)
    assert not is_open(world, 2)
    world.targets[replicas(world)[1]].lagging = False
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary != first.name
    assert (1, 'late') in world.targets[world.group.primary].log
    assert find(world, 'freeze', 'primary_leaving')


def test_failover_is_paused_by_the_document():
    """During maintenance, a restart of the primary must not move it."""
    world = start()
    pause = change(
        world,
        section='maintenance',
        kind='operations',
        change_id='pause',
        body='pause_failover: [tickets]',
    )
    world.run_until(lambda: pause in world.replies)
    lose(world, world.group.primary)
    world.run(3)
    assert world.group.term == 1
    assert find(world, 'keep_primary', 'failover_paused')
    fields = {'section': 'maintenance', 'kind': 'operations', 'base_version': 1}
    change(world, **fields, change_id='resume', body='')
    world.run_until(lambda: is_open(world, 2))


def test_too_few_instances_keep_the_group_read_only_until_one_returns():
    """One answer of three may lack acknowledged writes."""
    world = start()
    world.run(0.5)
    survivor = replicas(world)[0]
    lose(world, *(name for name in world.targets if name != survivor))
    world.run_until(lambda: world.group.read_only)
    world.run(3)
    assert world.group.phase == messages.GroupPhase.frozen
    world.targets[replicas(world)[1]].restart()
    world.run_until(lambda: is_open(world, 2))
    assert not world.group.read_only


def test_the_operator_may_accept_a_loss():
    """Without the choice, a group with one instance left could never be written again."""
    world = start(body=DOCUMENT.replace('}}', ', insufficient_instances: accept_loss}}'))
    world.run(0.5)
    survivor = replicas(world)[0]
    lose(world, *(name for name in world.targets if name != survivor))
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary == survivor
    assert find(world, 'accept_loss', 'too_few_instances')


def test_a_returned_primary_follows_and_its_extra_positions_are_reported():
    """A deposed primary's own records must never be served."""
    world = start()
    world.run(0.5)
    first = world.targets[world.group.primary]
    for name in replicas(world):
        world.targets[name].lagging = True
    first.log.append((1, 'extra'))
    lose(world, first.name)
    world.run(0.1)
    for target in world.targets.values():
        target.lagging = False
    world.run_until(lambda: is_open(world, 2))
    world.run(0.5)
    first.restart()
    world.run_until(lambda: find(world, 'report_positions', 'discarded'))
    world.run(1)
    assert first.log == world.targets[world.group.primary].log


def test_a_silent_new_primary_is_not_replaced_at_once():
    """Load that has waited may keep a new primary from answering probes in time."""
    world = start()
    first = world.targets[world.group.primary]
    lose(world, first.name)
    world.run_until(lambda: is_open(world, 2))
    first.restart()
    world.run(0.3)
    world.targets[world.group.primary].isolated = True
    world.run(3)
    assert world.group.term == 2
    world.run_until(lambda: is_open(world, 3))


def test_group_opens_only_with_the_first_record_on_a_replica():
    """Otherwise a later choice could prefer the longer log of the deposed primary."""
    world = start()
    world.run(0.5)
    lose(world, world.group.primary)
    for target in world.targets.values():
        target.lagging = True
    world.run(2)
    assert world.group.phase == messages.GroupPhase.promoting
    chosen = world.targets[world.group.primary]
    assert chosen.role == messages.TargetRole.primary
    for target in world.targets.values():
        target.lagging = False
    world.run_until(lambda: is_open(world, 2))
    assert fakes.GROUP in world.entries['entry-1'].groups


@pytest.mark.parametrize(('instances', 'needed'), NEEDED)
def test_answers_needed_meet_every_acknowledged_write(instances: int, needed: int):
    """A write on two instances must be on one of those that answer."""
    assert count_required_answers(instances) == needed


@pytest.mark.parametrize(('limit', 'bound', 'entries', 'lendable'), LENDABLE)
def test_lent_connections_leave_room_for_all_base_quotas(limit, bound, entries, lendable):
    """Entries beyond the operator's bound use base quotas as well."""
    assert count_lendable(limit, bound, entries) == lendable


def test_an_instance_with_a_newer_term_is_won_back():
    """An attempt that was not committed must not leave a replica that refuses all orders."""
    world = start()
    world.run(0.5)
    stray = world.targets[replicas(world)[0]]
    stray.term = 5
    stray.following = None
    world.run_until(lambda: is_open(world, 6))
    world.run_until(lambda: stray.following == world.group.primary or stray.is_serving)


@pytest.mark.parametrize('leader_crashes', [False, True])
def test_a_promotion_waits_for_the_lease_of_an_entry_that_hears_nothing(leader_crashes: bool):
    """An entry that missed the freeze goes on writing until its lease has ended."""
    world = start()
    world.run(0.5)
    entry = world.entries['entry-1']
    world.targets[world.group.primary].leaving = True
    world.run_until(lambda: find(world, 'freeze', 'primary_leaving'))
    world.cut.add(entry.name)
    world.run_until(lambda: world.group.phase == messages.GroupPhase.frozen)
    if leader_crashes:
        world.crash(world.leader)
    assert entry.open_row(world.now)
    world.run_until(lambda: world.group.phase == messages.GroupPhase.promoting)
    assert entry.open_row(world.now) is None


def test_an_entry_that_missed_a_freeze_gets_no_lease():
    """After the group has opened again, the entry would still write to the deposed primary."""
    world = start()
    world.run(0.5)
    entry = world.entries['entry-1']
    world.cut.add(entry.name)
    lose(world, world.group.primary)
    world.run_until(lambda: is_open(world, 2))
    world.lost_type = messages.StateUpdate
    world.cut.clear()
    world.run(1)
    assert find(world, 'refuse_lease', 'behind_freeze')
    assert entry.open_row(world.now) is None
    world.lost_type = None
    world.run_until(lambda: entry.open_row(world.now) is not None)


def test_one_entry_alone_does_not_replace_a_primary_under_a_new_leader():
    """The first entry that renews with a new leader may be the one that is cut off."""
    world = start()
    world.run(0.5)
    world.entries['entry-1'].blind = frozenset((world.group.primary,))
    world.run(1)
    world.cut |= {'entry-2', 'entry-3'}
    world.crash(world.leader)
    world.run_until(lambda: world.leader is not None)
    world.run(0.3)
    world.cut.clear()
    world.run(2)
    assert world.group.term == 1
