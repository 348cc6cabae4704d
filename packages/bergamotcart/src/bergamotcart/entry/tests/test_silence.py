"""Requests in flight at a target that falls silent."""

from bergamotcart import entry
from bergamotcart.discovery import TargetKey
from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.messages import Reachability
from bergamotcart.outcomes import MayHaveRun, Ran

ENTRY = 'e1'


def _send_without_answer(world: World, sql: str) -> tuple[int, TargetKey]:
    """Send a statement whose answer never comes, after a first read of the session."""
    world.announce()
    world.settle()
    session = world.open_session(ENTRY)
    caller = Caller()
    world.request(ENTRY, session, caller, 'SELECT 1')
    world.settle()
    request = world.request(ENTRY, session, caller, sql)
    _, hung = world.executions.pop()
    return request, hung.target


def _fall_silent(world: World, target: TargetKey) -> None:
    failure = entry.ProbeFinished(target, world.now, None, Reachability.silent)
    world.step(ENTRY, failure)


def test_a_read_is_sent_again_elsewhere():
    """A caller must not wait its whole deadline for an instance that was cut off."""
    world = World()
    request, target = _send_without_answer(world, 'SELECT 1')
    _fall_silent(world, target)
    world.settle()
    assert isinstance(world.outcome(request), Ran)


def test_a_write_may_have_run():
    """The verdict must come when the primary falls silent, and must not be a guess."""
    world = World()
    request, target = _send_without_answer(world, 'INSERT w1')
    assert world.outcome(request) is None
    _fall_silent(world, target)
    assert isinstance(world.outcome(request), MayHaveRun)
