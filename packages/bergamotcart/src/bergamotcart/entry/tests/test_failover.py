"""Scenarios of requests in flight while a target falls silent or a primary is replaced."""

import pytest

from bergamotcart import messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart.entry import EntryConfig, EntryEngine
from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import MayHaveRun, Ran

E1 = 'e1'
READ = 'SELECT 1'


def _ready() -> World:
    world = World()
    world.announce()
    world.advance(0.01)
    world.settle()
    return world


def test_a_read_leaves_a_silent_replica():
    """A caller must not wait for its deadline because a replica has fallen silent."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    world.request(E1, session, caller, READ)
    world.settle()
    request = world.request(E1, session, caller, READ)
    world.executions.clear()
    for _ in range(4):
        world.advance(0.3)
        while world.probes:
            world.answer_probe(0, lose=world.probes[0][2].target.instance == 'b')
    world.announce()
    world.settle()
    assert isinstance(world.outcome(request), Ran)


def test_a_write_with_an_identifier_moves_to_the_next_primary():
    """The ledger lets a write resume although its first attempt got no answer."""
    world = _ready()
    session = world.open_session(E1)
    sql = "INSERT w1 /*request='r1'*/"
    request = world.request(E1, session, Caller(), sql, ledger='r1')
    world.executions.clear()
    world.fail_over()
    assert isinstance(world.outcome(request), Ran)


def test_a_write_that_runs_during_a_freeze_may_have_run():
    """Nothing of the frozen term can be acknowledged, so the caller need not wait."""
    world = _ready()
    request = world.request(E1, world.open_session(E1), Caller(), 'INSERT w1')
    world.control.freeze()
    world.post('control', E1, world.control.update())
    world.deliver(len(world.mail) - 1)
    assert isinstance(world.outcome(request), MayHaveRun)


@pytest.mark.parametrize(('leader', 'address'), [('m2', ''), ('m7', 'm7:1')])
def test_a_refusal_that_names_the_leader_is_followed(leader, address):
    """After a change of leader the lease must not wait for a whole round of all members.

    The leader may be none of the members that a started entry knows from its settings.
    """
    engine = EntryEngine(
        EntryConfig(
            name=E1,
            incarnation='1',
            availability_zone='z1',
            address=E1,
            control_members=(('m1', 'm1:1'), ('m2', 'm2:1')),
            session_key=b'k' * 16,
        )
    )
    engine.step(1.0, ())
    refusal = messages.LeaseRefusal(
        echo_sent_at=1.0,
        leader=leader,
        leader_address=address,
    )
    envelope = messages.Envelope(
        version=1,
        domain='default',
        sender='m1',
        incarnation='1',
        sender_address='m1:1',
        recipient=E1,
        body=refusal,
    )
    outbox = engine.step(1.001, (MessageReceived(envelope),))
    asked = engine.step(outbox.next_tick, ()).actions
    assert [sent.recipient for sent in asked if isinstance(sent, Send)] == [leader]
