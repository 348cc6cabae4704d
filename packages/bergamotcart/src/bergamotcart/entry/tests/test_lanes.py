"""Guards how many connections an entry keeps where they are scarce."""

from bergamotcart.discovery import TargetKey
from bergamotcart.entry import Execute, ExecutionFinished, ExecutionStatus
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


def test_unused_connections_are_given_back_sooner_once_the_target_refuses_some():
    """Another entry needs them."""
    world = _crowded()
    first = _idle_s(world, 'b')
    world.ask(world.open('aged'), routed.READ)
    action = world.take()
    assert action.target == key('b')
    _refuse(world, action)
    world.pass_time(0.26)
    assert _idle_s(world, 'b') < first


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
    firsts = {
        min(targets, key=lambda target: Lane(target, 0.0, f'e{number}').rank)
        for number in range(20)
    }
    assert firsts == set(targets)
