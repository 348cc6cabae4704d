"""Scenarios of one engine with targets and control that do not fail unless told."""

from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason

E1 = 'e1'
READ = 'SELECT 1'
WRITE = 'INSERT w1'


def _ready(**options: object) -> World:
    world = World(**options)
    world.announce()
    world.advance(0.01)
    world.settle()
    return world


def _ask(world: World, session: int, caller: Caller, sql: str, **sent: object):
    name = sent.pop('entry', E1)
    request = world.request(name, session, caller, sql, **sent)
    world.settle()
    return world.outcome(request)


def test_a_session_reads_its_own_write_through_another_entry_by_token():
    """A session that moves to another entry must not read an older state."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    assert isinstance(_ask(world, session, caller, WRITE), Ran)
    assert isinstance(_ask(world, session, caller, READ), Ran)
    answer = _ask(world, session, caller, 'SHOW BERGAMOTCART SESSION')
    token = answer.result.rows[0][0]
    other = world.open_session('e2')
    sql = f"SELECT 1 /*session='{token}'*/"
    assert isinstance(_ask(world, other, caller, sql, entry='e2'), Ran)


def test_reads_go_to_the_replica_of_the_own_zone():
    """The primary must not serve reads that a replica can serve."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    _ask(world, session, caller, READ)
    routed = [one for one in world.decisions if one.system == 'routing']
    assert [(one.action, one.target) for one in routed] == [('send_to_replica', 'b')]


def test_a_write_whose_connection_broke_may_have_run():
    """The verdict must not be a guess: the target may have run the statement."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    request = world.request(E1, session, caller, WRITE)
    world.execute(0, 'mute', 0)
    assert isinstance(world.outcome(request), MayHaveRun)


def test_an_identifier_gets_the_recorded_outcome():
    """A caller that repeats a request whose answer was lost must not run it twice."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    sql = f"{WRITE} /*request='r1'*/"
    request = world.request(E1, session, caller, sql, ledger='r1')
    world.execute(0, 'mute', 4)
    world.advance(0.1)
    world.settle()
    assert world.outcome(request).reason is Reason.recorded
    world.oracle.check_logs()


def test_a_transaction_whose_connection_broke_before_commit_did_not_run():
    """The remaining statements of a broken transaction must not run on their own."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    assert isinstance(_ask(world, session, caller, 'BEGIN'), Ran)
    request = world.request(E1, session, caller, WRITE, in_transaction=True)
    world.execute(0, 'lose', 0)
    assert isinstance(world.outcome(request), NotRun)
    outcome = _ask(world, session, caller, 'INSERT w2', in_transaction=True)
    assert outcome.reason is Reason.rolled_back
    assert isinstance(_ask(world, session, caller, 'ROLLBACK'), Ran)
    assert isinstance(_ask(world, session, caller, 'INSERT w3'), Ran)


def test_a_transaction_commits_and_is_confirmed():
    """A committed transaction must be acknowledged only with a replica that has it."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    _ask(world, session, caller, "BEGIN /*request='r1'*/")
    _ask(world, session, caller, WRITE, in_transaction=True)
    assert isinstance(_ask(world, session, caller, 'COMMIT'), Ran)
    assert WRITE in [record.text for record in world.targets['b'].log]
    again = _ask(world, session, caller, "BEGIN /*request='r1'*/")
    assert again == Ran(None, Reason.recorded)


def test_without_control_writes_are_refused_and_provable_reads_go_on():
    """A cut-off availability zone serves what it can prove, and nothing else."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    _ask(world, session, caller, WRITE)
    world.control.reachable = False
    for _ in range(40):
        world.advance(0.1)
        world.announce()
        world.settle(1)
    refused = _ask(world, session, caller, 'INSERT w2')
    assert refused.reason is Reason.no_lease
    assert isinstance(_ask(world, session, caller, READ), Ran)
    fresh = world.open_session(E1)
    assert _ask(world, fresh, Caller(), READ).reason is Reason.floor_unknown


def test_a_lagging_replica_does_not_serve_a_session_that_wrote():
    """A read must not miss the session's own write, nor go back behind what it read."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    _ask(world, session, caller, READ)
    for number in range(3):
        world.request(E1, session, caller, f'INSERT w{number}')
        world.settle(6, 'b')
        world.request(E1, session, caller, READ)
        world.settle(6, 'b')
    assert not world.oracle.sent
    assert {'INSERT w0', 'INSERT w2'} <= caller.must_see


def test_a_confirmation_after_the_end_of_the_lease_acknowledges_nothing():
    """Control may have replaced the primary once the lease is gone."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    request = world.request(E1, session, caller, WRITE)
    world.execute(0)
    world.targets['b'].replicate(1)
    for _ in world.probes.copy():
        world.read_position(0)
    world.control.reachable = False
    world.control.freeze()
    world.advance(1.2)
    world.control.promote([world.targets['b'], world.targets['c']])
    for _ in world.slow.copy():
        world.step(*world.slow.pop(0))
    assert world.outcome(request) is None
    world.control.reachable = True
    world.advance(0.5)
    world.settle()
    assert isinstance(world.outcome(request), MayHaveRun)


def test_a_write_is_acknowledged_only_with_a_replica():
    """A write that only the primary has is lost with it."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    request = world.request(E1, session, caller, WRITE)
    world.settle(6, 'bc')
    assert world.outcome(request) is None
    world.settle(6)
    assert isinstance(world.outcome(request), Ran)


def test_a_commit_whose_answer_was_lost_may_have_run():
    """The transaction may be committed although the connection broke."""
    world, caller = _ready(), Caller()
    session = world.open_session(E1)
    _ask(world, session, caller, 'BEGIN')
    _ask(world, session, caller, WRITE, in_transaction=True)
    request = world.request(E1, session, caller, 'COMMIT')
    world.execute(0, 'mute', 0)
    assert isinstance(world.outcome(request), MayHaveRun)
