"""Tests of requests in flight at a target that falls silent."""

from bergamotcart import entry
from bergamotcart.discovery import TargetKey
from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.messages import Reachability
from bergamotcart.outcomes import MayHaveRun, Ran

ENTRY = 'e1'


def _send_unanswered(world: World, sql: str) -> tuple[int, TargetKey]:
    """Send a statement that is never answered, after a first read of the session."""
    world.announce()
    world.settle()
    session = world.open_session(ENTRY)
    caller = Caller()
    world.request(ENTRY, session, caller, 'SELECT 1')
    world.settle()
    request = world.request(ENTRY, session, caller, sql)
    _, execution = world.executions.pop()
    return request, execution.target


def _report_silent(world: World, target: TargetKey) -> None:
    failure = entry.ProbeFinished(target, world.now, None, Reachability.silent)
    world.step(ENTRY, failure)


def test_read_retries_at_another_target():
    """A read is retried elsewhere instead of waiting for its deadline at an unreachable target."""
    world = World()
    request, target = _send_unanswered(world, 'SELECT 1')
    _report_silent(world, target)
    world.settle()
    assert isinstance(world.outcome(request), Ran)


def test_write_may_have_run():
    """A write ends as ``MayHaveRun`` as soon as the primary falls silent, not before."""
    world = World()
    request, target = _send_unanswered(world, 'INSERT w1')
    assert world.outcome(request) is None
    _report_silent(world, target)
    assert isinstance(world.outcome(request), MayHaveRun)
