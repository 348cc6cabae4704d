"""Tests of instances whose announcements no entry receives."""

from bergamotcart.control.tests.test_engine import is_open, start_world


def test_new_leader_reaches_instance_without_announcements():
    """A new leader without the addresses could not collect enough positions.

    The group could then not be written any more.
    """
    world = start_world()
    former, primary = world.leader, world.group.primary
    unannounced = next(name for name in world.targets if name != primary)
    world.targets[unannounced].announcements_lost = True
    world.run(1.0)
    world.crash(former)
    world.targets[primary].alive = False
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary not in {primary, unannounced}


def test_primary_without_announcements_is_replaced():
    """An instance without announcements gets no requests, so writes would wait for ever."""
    world = start_world()
    primary = world.group.primary
    world.targets[primary].announcements_lost = True
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary != primary
