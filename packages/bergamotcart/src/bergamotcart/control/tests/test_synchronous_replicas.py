"""Tests of the replacement of a primary whose acknowledgements depend on replicas."""

from bergamotcart.control import OrderKind
from bergamotcart.control.tests._authority_world import AuthorityWorld
from bergamotcart.messages import GroupPhase

_PRIMARY = 'a'


def _start_world() -> AuthorityWorld:
    world = AuthorityWorld(synchronous_replicas=1)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _PRIMARY)
    return world


def test_failover_uses_no_position_of_an_earlier_placement():
    """The replica that answered last was judged by its position at the first placement."""
    world = _start_world()
    world.run(1.0)
    world.instances['b'].position = 20
    world.instances['c'].position = 15
    world.order_delays_s['b'] = 0.05
    world.crash_instance(_PRIMARY)
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, 'b')


def test_acknowledged_writes_survive_with_synchronous_replicas():
    """One of two replicas may lack a write that the other one has acknowledged."""
    world = _start_world()
    world.crash_instance(_PRIMARY)
    world.instances['c'].is_running = False
    world.run(2.0)
    assert world.group_row.phase is GroupPhase.frozen
    world.instances['c'].is_running = True
    world.instances['c'].position = 40
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, 'c')
    kinds = [order.kind for order in world.orders if order.instance == 'b']
    stopped_index = kinds.index(OrderKind.stop_following)
    assert OrderKind.follow in kinds[stopped_index:], (
        'replica b was not ordered to follow after it had been stopped'
    )
