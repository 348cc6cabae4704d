"""Guards how many connections an entry keeps where they are scarce."""

from bergamotcart.discovery import TargetKey
from bergamotcart.entry import ConnectionCount, Execute, ExecutionFinished, ExecutionStatus
from bergamotcart.entry._lanes import Lane
from bergamotcart.entry.tests import routed_world as routed
from bergamotcart.entry.tests.routed_world import RoutedWorld, key
from bergamotcart.messages import EntryRow
from bergamotcart.outcomes import ErrorKind, Ran, TargetError

_BUSY = TargetError(0, 'TOOMANY', 'full', ErrorKind.busy)


def _crowded() -> RoutedWorld:
    world = RoutedWorld()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(10)
    ]
    world.update_entries(rows)
    world.pass_time(0.3)
    return world


def _idle_s(world: RoutedWorld, name: str) -> float:
    limits = [limit for limit in world.limits if limit.target == key(name)]
    return limits[-1].idle_s


def _refuse(world: RoutedWorld, action: Execute) -> None:
    status = ExecutionStatus.not_sent
    world.step(ExecutionFinished(execution_id=action.execution_id, status=status, error=_BUSY))


def test_unused_connections_are_kept_longer_while_the_target_accepts_all():
    """Opening a connection costs the target as much as a short statement."""
    world = _crowded()
    first = _idle_s(world, 'b')
    for _ in range(8):
        world.pass_time(0.26)
    assert _idle_s(world, 'b') > first


def test_unused_connections_are_given_back_to_a_full_target():
    """Another entry needs them, once nobody uses more than one at a time."""
    lane = Lane(key('b'), 0, 'e1')
    first = lane.idle_s
    for _ in range(4):
        lane.was_refused = True
        lane.adapt()
    assert int(lane.scarce_quota) == 2
    assert lane.idle_s < first


def test_a_read_goes_elsewhere_when_a_target_is_full():
    """The same target would refuse it again."""
    world = _crowded()
    read = world.ask(world.open('aged'), routed.READ)
    first = world.take()
    _refuse(world, first)
    world.pass_time(0.05)
    second = world.take()
    assert second.target != first.target
    world.finish(second)
    assert isinstance(world.replies[read].outcome, Ran)


def test_entries_rank_equal_targets_differently():
    """Otherwise all of them would send their reads to the same one."""
    targets = [TargetKey('ledger', name) for name in 'abc']
    firsts = {_first(targets, f'e{number}') for number in range(20)}
    assert firsts == set(targets)


def _first(targets: list[TargetKey], entry: str) -> TargetKey:
    return min((Lane(target, 0, entry).rank, target) for target in targets)[1]


def test_a_full_target_gets_no_further_connection_for_a_moment():
    """Entries that come back at once would keep it full for ever."""
    world = _crowded()
    session = world.open('strict')
    world.ask(session, routed.WRITE, 'WRITE x 1')
    _refuse(world, world.take())
    world.pass_time(0.02)
    assert not world.executions
    world.pass_time(0.2)
    assert world.take().target == key('a')


def test_a_pausing_target_serves_on_the_connections_that_it_has():
    """They cost it nothing."""
    world = _crowded()
    world.step(ConnectionCount(key('a'), 2))
    first, second = world.open('strict'), world.open('strict')
    world.ask(first, routed.WRITE, 'WRITE x 1')
    _refuse(world, world.take())
    world.ask(second, routed.WRITE, 'WRITE x 2')
    assert world.take().target == key('a')


def test_fewer_connections_are_used_at_a_full_target():
    """All entries together must find a number that the target accepts."""
    world = _crowded()
    before = _limit(world, 'a')
    world.ask(world.open('strict'), routed.WRITE, 'WRITE x 1')
    _refuse(world, world.take())
    world.pass_time(0.26)
    assert _limit(world, 'a') < before
    for _ in range(8):
        world.pass_time(0.26)
    assert _limit(world, 'a') == before


def _limit(world: RoutedWorld, name: str) -> int:
    return [limit.limit for limit in world.limits if limit.target == key(name)][-1]
