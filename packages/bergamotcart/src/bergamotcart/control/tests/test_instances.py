"""Guards against a failover that needs an instance which no entry hears."""

from bergamotcart.control.tests.test_engine import is_open, start


def test_a_new_leader_collects_from_an_instance_that_no_entry_hears():
    """The addresses were in the former leader's memory only, and writes stopped for good."""
    world = start()
    former, primary = world.leader, world.group.primary
    unheard = next(name for name in world.targets if name != primary)
    world.targets[unheard].unheard = True
    world.run(1.0)
    world.crash(former)
    world.targets[primary].alive = False
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary not in {primary, unheard}


def test_an_unheard_primary_hands_over():
    """Entries send no work to an instance that none of them hears, so writes would wait."""
    world = start()
    primary = world.group.primary
    world.targets[primary].unheard = True
    world.run_until(lambda: is_open(world, 2))
    assert world.group.primary != primary
