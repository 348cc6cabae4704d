"""Tests of the replacement of a primary whose acknowledgements depend on replicas."""

from bergamotcart.control import OrderKind
from bergamotcart.control._write_coverage import UNHEARD_REPLICA_S
from bergamotcart.control.tests._authority_world import AuthorityWorld, Instance
from bergamotcart.messages import GroupPhase

_PRIMARY = 'a'
_REPLICA = 'b'
_CATCH_UP_S = 6.0


def _start_world() -> AuthorityWorld:
    world = AuthorityWorld(synchronous_replicas=1)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _PRIMARY)
    return world


def test_failover_uses_no_position_of_an_earlier_placement():
    """The replica that answered last was judged by its position at the first placement."""
    world = _start_world()
    world.run(1.0)
    world.instances[_REPLICA].position = 20
    world.instances['c'].position = 15
    world.order_delays_s[_REPLICA] = 0.05
    world.crash_instance(_PRIMARY)
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _REPLICA)


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


def test_replicas_are_not_stopped_for_their_positions():
    """A replica whose order to stop was carried out late has never followed again."""
    world = _start_world()
    world.instances[_PRIMARY].leaving = True
    world.announce_instances()
    world.run(1.0)
    world.crash_instance(world.group_row.primary)
    world.run(2.0)
    assert world.group_row.phase is GroupPhase.open
    assert OrderKind.stop_following not in {order.kind for order in world.orders}


def _add_newcomer(world: AuthorityWorld, name: str, position: int) -> None:
    world.instances[name] = Instance(name, position=position)
    world.announce_instances()
    world.run(0.5)


def test_newcomer_does_not_stand_for_replica_that_has_not_answered():
    """During a release more instances run than configured, and any of them confirms writes."""
    world = _start_world()
    _add_newcomer(world, 'd', position=10)
    world.instances[_REPLICA].position = 30
    world.instances[_REPLICA].is_running = False
    world.crash_instance(_PRIMARY)
    world.run(3.0)
    assert world.group_row.phase is GroupPhase.frozen
    world.instances[_REPLICA].is_running = True
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _REPLICA)


def test_leaving_primary_is_not_replaced_by_replica_without_its_writes():
    """A replica out of reach may alone have confirmed them, so the others must reach its head."""
    world = _start_world()
    world.instances['c'].is_running = False
    world.instances[_PRIMARY].position = 30
    world.instances[_PRIMARY].leaving = True
    world.announce_instances()
    world.run(_CATCH_UP_S)
    assert _REPLICA not in {name for name, _ in world.authority_calls}
    world.instances[_REPLICA].position = 30
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _REPLICA)


def test_new_leader_waits_for_replicas_that_it_has_not_heard():
    """It knows them from the replicated state, and one of them may have the newest writes."""
    world = _start_world()
    _add_newcomer(world, 'd', position=10)
    _add_newcomer(world, 'e', position=10)
    for name in 'bc':
        world.instances[name].position = 30
        world.instances[name].is_running = False
    world.crash_instance(_PRIMARY)
    world.restart_control()
    world.run(3.0)
    assert world.group_row.phase is GroupPhase.frozen
    world.instances['c'].is_running = True
    world.instances[_REPLICA].is_running = True
    world.run(2.0)
    assert world.group_row.phase is GroupPhase.open
    assert world.group_row.primary in {_REPLICA, 'c'}


def test_former_primary_is_not_awaited_after_failed_promotion():
    """The group would stay without a primary although the other replicas have answered."""
    world = _start_world()
    world.refuses_calls = True
    world.instances[_REPLICA].position = 30
    world.crash_instance(_PRIMARY)
    world.run(1.0)
    world.refuses_calls = False
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _REPLICA)


def test_replica_lost_for_good_does_not_prevent_failover():
    """Writes that only it confirmed have reached the other replicas long since."""
    world = _start_world()
    world.instances[_REPLICA].is_running = False
    _add_newcomer(world, 'd', position=10)
    for _ in range(int(UNHEARD_REPLICA_S) + 1):
        world.announce_instances()
        world.run(1.0)
    world.crash_instance(_PRIMARY)
    world.run(2.0)
    assert world.group_row.phase is GroupPhase.open
    assert world.group_row.primary in {'c', 'd'}


def test_log_shows_which_answers_decided():
    """One look must tell why an instance was chosen, and which instances had not answered."""
    world = _start_world()
    world.instances['c'].is_running = False
    world.crash_instance(_PRIMARY)
    world.run(1.0)
    details = [each.detail for each in world.decisions if each.reason == 'writes_not_covered']
    assert 'b at 1/10' in details[0]
    assert 'replicas without an answer: c' in details[0]
    assert 'last head of a: 1/10' in details[0]


def test_former_primary_that_was_demoted_covers_all_writes():
    """The instance that replaced it may have crashed at once, and must not be awaited."""
    world = _start_world()
    world.instances[_REPLICA].leaving = True
    world.announce_instances()
    world.carry_out_call('c')
    world.crash_instance('c')
    world.run(4.0)
    assert world.group_row.phase is GroupPhase.open
    assert world.group_row.primary in {_PRIMARY, _REPLICA}
