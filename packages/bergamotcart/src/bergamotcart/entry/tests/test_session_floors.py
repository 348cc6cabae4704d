"""Tests the floors of sessions while the replica of one availability zone lags."""

import pytest

from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import Ran

CURRENT_REPLICA_ENTRY = 'e1'
LAGGING_REPLICA_ENTRY = 'e2'
READ = 'SELECT 1'


@pytest.fixture
def world() -> World:
    """Return a world in which ``c``, the replica in the zone of the second entry, lags."""
    ready = World()
    ready.announce()
    ready.advance(0.01)
    ready.settle()
    return ready


def _run_statement(
    world: World, entry_name: str, session: int, caller: Caller, sql: str, **sent: object
):
    request = world.request(entry_name, session, caller, sql, **sent)
    for _ in range(4):
        world.announce()
        world.settle(4, 'c')
        world.advance(0.1)
    return world.outcome(request)


def test_token_carries_position_of_last_read(world):
    """The floor is raised lazily, but a token must include the position of the last read."""
    writer, reader = Caller(), Caller()
    first = world.open_session(CURRENT_REPLICA_ENTRY)
    second = world.open_session(CURRENT_REPLICA_ENTRY)
    assert isinstance(_run_statement(world, CURRENT_REPLICA_ENTRY, second, reader, READ), Ran)
    assert isinstance(_run_statement(world, CURRENT_REPLICA_ENTRY, first, writer, 'INSERT w1'), Ran)
    assert isinstance(_run_statement(world, CURRENT_REPLICA_ENTRY, second, reader, READ), Ran)
    assert reader.must_see == {'INSERT w1'}
    answer = _run_statement(
        world, CURRENT_REPLICA_ENTRY, second, reader, 'SHOW BERGAMOTCART SESSION'
    )
    sql = f"SELECT 1 /*session='{answer.result.rows[0][0]}'*/"
    moved = world.open_session(LAGGING_REPLICA_ENTRY)
    assert isinstance(_run_statement(world, LAGGING_REPLICA_ENTRY, moved, reader, sql), Ran)


def test_position_of_last_read_counts_after_replica_loss(world):
    """After the loss of a replica, another must not serve older data to the session."""
    writer, reader = Caller(), Caller()
    first, second = (
        world.open_session(CURRENT_REPLICA_ENTRY),
        world.open_session(CURRENT_REPLICA_ENTRY),
    )
    _run_statement(world, CURRENT_REPLICA_ENTRY, second, reader, READ)
    _run_statement(world, CURRENT_REPLICA_ENTRY, first, writer, 'INSERT w1')
    _run_statement(world, CURRENT_REPLICA_ENTRY, second, reader, READ)
    world.targets['b'].up = False
    assert isinstance(_run_statement(world, CURRENT_REPLICA_ENTRY, second, reader, READ), Ran)


def test_new_session_sees_acknowledged_writes(world):
    """A session without a token must see what was acknowledged before it was opened."""
    first = world.open_session(CURRENT_REPLICA_ENTRY)
    assert isinstance(
        _run_statement(world, CURRENT_REPLICA_ENTRY, first, Caller(), 'INSERT w1'), Ran
    )
    late = Caller(must_see={'INSERT w1'})
    assert isinstance(
        _run_statement(
            world, LAGGING_REPLICA_ENTRY, world.open_session(LAGGING_REPLICA_ENTRY), late, READ
        ),
        Ran,
    )


def test_read_respects_max_age(world):
    """A lagging replica must not serve a read whose maximal age it exceeds."""
    old, session = Caller(), world.open_session(LAGGING_REPLICA_ENTRY)
    assert isinstance(_run_statement(world, LAGGING_REPLICA_ENTRY, session, old, READ), Ran)
    _run_statement(
        world,
        CURRENT_REPLICA_ENTRY,
        world.open_session(CURRENT_REPLICA_ENTRY),
        Caller(),
        'INSERT w1',
    )
    for _ in range(5):
        world.announce()
        world.settle(2, 'c')
        world.advance(0.3)
    sql = "SELECT 1 /*max_age='1s'*/"
    assert isinstance(
        _run_statement(world, LAGGING_REPLICA_ENTRY, session, old, sql, max_age_s=1.0), Ran
    )
    assert old.must_see == {'INSERT w1'}


def test_reads_waiting_for_busy_primary_are_served(world):
    """A queued read must be sent once the primary has room, not refused at its deadline."""
    pairs = [(world.open_session(CURRENT_REPLICA_ENTRY), Caller()) for _ in range(8)]
    for opened, reader in pairs:
        _run_statement(world, CURRENT_REPLICA_ENTRY, opened, reader, READ)
    world.targets['b'].up = False
    world.targets['c'].up = False
    world.advance(0.3)
    world.settle(6)
    numbers = [
        world.request(CURRENT_REPLICA_ENTRY, session, caller, READ) for session, caller in pairs
    ]
    world.settle(12, 'bc')
    world.advance(0.1)
    world.settle(12, 'bc')
    assert all(isinstance(world.outcome(number), Ran) for number in numbers)
