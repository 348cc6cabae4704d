"""Tests engines with fake targets and control that fail only on request."""

from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.entry.tests.world import World
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason

E1 = 'e1'
READ = 'SELECT 1'
WRITE = 'INSERT w1'


def _make_ready_world(**options: object) -> World:
    world = World(**options)
    world.announce()
    world.advance(0.01)
    world.settle()
    return world


def _run_statement(world: World, session: int, caller: Caller, sql: str, **sent: object):
    name = sent.pop('entry', E1)
    request = world.request(name, session, caller, sql, **sent)
    world.settle()
    return world.outcome(request)


def test_token_carries_own_write_to_other_entry():
    """A session that moves to another entry with its token must see its own write."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    assert isinstance(_run_statement(world, session, caller, WRITE), Ran)
    assert isinstance(_run_statement(world, session, caller, READ), Ran)
    answer = _run_statement(world, session, caller, 'SHOW BERGAMOTCART SESSION')
    token = answer.result.rows[0][0]
    other = world.open_session('e2')
    sql = f"SELECT 1 /*session='{token}'*/"
    assert isinstance(_run_statement(world, other, caller, sql, entry='e2'), Ran)


def test_reads_prefer_replica_in_own_zone():
    """The primary must not serve a read that a replica can serve."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    _run_statement(world, session, caller, READ)
    routed = [one for one in world.decisions if one.system == 'routing']
    assert [(one.action, one.target) for one in routed] == [('send_to_replica', 'b')]


def test_write_may_have_run_after_connection_loss():
    """The target may have run the statement, so the outcome must not be ``NotRun``."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    request = world.request(E1, session, caller, WRITE)
    world.execute(0, 'mute', 0)
    assert isinstance(world.outcome(request), MayHaveRun)


def test_retry_with_identifier_returns_recorded_outcome():
    """A retried request whose answer was lost must not run twice."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    sql = f"{WRITE} /*request='r1'*/"
    request = world.request(E1, session, caller, sql, ledger='r1')
    world.execute(0, 'mute', 4)
    world.advance(0.1)
    world.settle()
    assert world.outcome(request).reason is Reason.recorded
    world.oracle.check_logs()


def test_transaction_has_not_run_after_connection_loss_before_commit():
    """The remaining statements of a lost transaction must not run outside it."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    assert isinstance(_run_statement(world, session, caller, 'BEGIN'), Ran)
    request = world.request(E1, session, caller, WRITE, in_transaction=True)
    world.execute(0, 'lose', 0)
    assert isinstance(world.outcome(request), NotRun)
    outcome = _run_statement(world, session, caller, 'INSERT w2', in_transaction=True)
    assert outcome.reason is Reason.rolled_back
    assert isinstance(_run_statement(world, session, caller, 'ROLLBACK'), Ran)
    assert isinstance(_run_statement(world, session, caller, 'INSERT w3'), Ran)


def test_commit_is_acknowledged_by_replica():
    """A COMMIT must be acknowledged only once a replica has the transaction."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    _run_statement(world, session, caller, "BEGIN /*request='r1'*/")
    _run_statement(world, session, caller, WRITE, in_transaction=True)
    assert isinstance(_run_statement(world, session, caller, 'COMMIT'), Ran)
    assert WRITE in [record.text for record in world.targets['b'].log]
    again = _run_statement(world, session, caller, "BEGIN /*request='r1'*/")
    assert again == Ran(None, Reason.recorded)


def test_without_control_only_reads_with_known_floor_are_served():
    """An availability zone without control serves only reads whose floor is known."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    _run_statement(world, session, caller, WRITE)
    world.control.reachable = False
    for _ in range(40):
        world.advance(0.1)
        world.announce()
        world.settle(1)
    refused = _run_statement(world, session, caller, 'INSERT w2')
    assert refused.reason is Reason.no_lease
    assert isinstance(_run_statement(world, session, caller, READ), Ran)
    fresh = world.open_session(E1)
    assert _run_statement(world, fresh, Caller(), READ).reason is Reason.floor_unknown


def test_lagging_replica_does_not_serve_session_after_write():
    """A read must see the session's own write and nothing older than its earlier reads."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    _run_statement(world, session, caller, READ)
    for number in range(3):
        world.request(E1, session, caller, f'INSERT w{number}')
        world.settle(6, 'b')
        world.request(E1, session, caller, READ)
        world.settle(6, 'b')
    assert not world.oracle.sent
    assert {'INSERT w0', 'INSERT w2'} <= caller.must_see


def test_write_replicated_after_lease_expiry_is_not_acknowledged():
    """Control may have replaced the primary once the lease has expired."""
    world, caller = _make_ready_world(), Caller()
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
    for _ in world.delayed_reports.copy():
        world.step(*world.delayed_reports.pop(0))
    assert world.outcome(request) is None
    world.control.reachable = True
    world.advance(0.5)
    world.settle()
    assert isinstance(world.outcome(request), MayHaveRun)


def test_write_is_acknowledged_after_replica_acknowledgement():
    """A write that only the primary has would be lost in a failover."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    request = world.request(E1, session, caller, WRITE)
    world.settle(6, 'bc')
    assert world.outcome(request) is None
    world.settle(6)
    assert isinstance(world.outcome(request), Ran)


def test_commit_may_have_run_after_lost_answer():
    """The transaction may have been committed before the connection broke."""
    world, caller = _make_ready_world(), Caller()
    session = world.open_session(E1)
    _run_statement(world, session, caller, 'BEGIN')
    _run_statement(world, session, caller, WRITE, in_transaction=True)
    request = world.request(E1, session, caller, 'COMMIT')
    world.execute(0, 'mute', 0)
    assert isinstance(world.outcome(request), MayHaveRun)
