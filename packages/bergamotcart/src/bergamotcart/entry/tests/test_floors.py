"""Scenarios of sessions while the replica of one availability zone lags behind."""

import pytest

from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import Ran

FRESH = 'e1'
LAGGING = 'e2'
READ = 'SELECT 1'


@pytest.fixture
def world() -> World:
    """Return a world in which ``c``, the replica next to the second entry, stays behind."""
    ready = World()
    ready.announce()
    ready.advance(0.01)
    ready.settle()
    return ready


def _ask(world: World, name: str, session: int, caller: Caller, sql: str, **sent: object):
    request = world.request(name, session, caller, sql, **sent)
    for _ in range(4):
        world.announce()
        world.settle(4, 'c')
        world.advance(0.1)
    return world.outcome(request)


def test_what_a_session_read_moves_with_its_token(world):
    """A floor that is raised lazily must be in the token."""
    writer, reader = Caller(), Caller()
    first = world.open_session(FRESH)
    second = world.open_session(FRESH)
    assert isinstance(_ask(world, FRESH, second, reader, READ), Ran)
    assert isinstance(_ask(world, FRESH, first, writer, 'INSERT w1'), Ran)
    assert isinstance(_ask(world, FRESH, second, reader, READ), Ran)
    assert reader.must_see == {'INSERT w1'}
    answer = _ask(world, FRESH, second, reader, 'SHOW BERGAMOTCART SESSION')
    sql = f"SELECT 1 /*session='{answer.result.rows[0][0]}'*/"
    moved = world.open_session(LAGGING)
    assert isinstance(_ask(world, LAGGING, moved, reader, sql), Ran)


def test_what_a_session_read_counts_when_its_replica_is_gone(world):
    """The next replica must not show an older state than the last one."""
    writer, reader = Caller(), Caller()
    first, second = world.open_session(FRESH), world.open_session(FRESH)
    _ask(world, FRESH, second, reader, READ)
    _ask(world, FRESH, first, writer, 'INSERT w1')
    _ask(world, FRESH, second, reader, READ)
    world.targets['b'].up = False
    assert isinstance(_ask(world, FRESH, second, reader, READ), Ran)


def test_a_new_session_sees_what_was_acknowledged_before(world):
    """A session without a token must not start in the past."""
    first = world.open_session(FRESH)
    assert isinstance(_ask(world, FRESH, first, Caller(), 'INSERT w1'), Ran)
    late = Caller(must_see={'INSERT w1'})
    assert isinstance(_ask(world, LAGGING, world.open_session(LAGGING), late, READ), Ran)


def test_a_read_is_no_older_than_it_may_be(world):
    """A lagging replica must not serve a read beyond its age."""
    old, session = Caller(), world.open_session(LAGGING)
    assert isinstance(_ask(world, LAGGING, session, old, READ), Ran)
    _ask(world, FRESH, world.open_session(FRESH), Caller(), 'INSERT w1')
    for _ in range(5):
        world.announce()
        world.settle(2, 'c')
        world.advance(0.3)
    sql = "SELECT 1 /*max_age='1s'*/"
    assert isinstance(_ask(world, LAGGING, session, old, sql, max_age_s=1.0), Ran)
    assert old.must_see == {'INSERT w1'}


def test_reads_that_wait_for_a_busy_primary_are_served(world):
    """A read must not wait for its deadline when the primary has room again."""
    pairs = [(world.open_session(FRESH), Caller()) for _ in range(8)]
    for opened, reader in pairs:
        _ask(world, FRESH, opened, reader, READ)
    world.targets['b'].up = False
    world.targets['c'].up = False
    world.advance(0.3)
    world.settle(6)
    numbers = [world.request(FRESH, session, caller, READ) for session, caller in pairs]
    world.settle(12, 'bc')
    world.advance(0.1)
    world.settle(12, 'bc')
    assert all(isinstance(world.outcome(number), Ran) for number in numbers)
