"""Tests of election, commit, restart and catch-up of the replicated log."""

from bergamotcart.consensus import Role
from bergamotcart.consensus.tests._cluster import Cluster


def _start_cluster(names: str = 'abc', **settings: object) -> Cluster:
    cluster = Cluster(names, **settings)
    cluster.start_all()
    cluster.elect_leader()
    return cluster


def _other_names(cluster: Cluster, name: str) -> list[str]:
    return [other for other in cluster.servers if other != name]


def test_group_forms_and_commits():
    """A first start must elect one leader, and all members must apply its committed records."""
    cluster = _start_cluster()
    index = cluster.propose(b'one')
    cluster.run(1)
    leader = cluster.find_leader()
    assert {server.applied for server in cluster.servers.values()} == {index}
    assert {server.node.leader for server in cluster.servers.values()} == {leader.name}
    assert {member.incarnation for member in leader.node.members} == {'a1', 'b1', 'c1'}


def test_single_member_forms_group():
    """A single control process must work without peers."""
    cluster = _start_cluster('a')
    index = cluster.propose(b'one')
    cluster.run(0.1)
    assert cluster.servers['a'].applied == index


def test_formation_requires_all_initial_members():
    """The missing member may hold committed records, which the others cannot rule out."""
    cluster = Cluster()
    cluster.servers['a'].start()
    cluster.servers['b'].start()
    cluster.run(10)
    assert not cluster.oracle.leaders


def test_committed_records_survive_restart_of_all_members():
    """Committed records must survive a restart of every process."""
    cluster = _start_cluster()
    cluster.propose(b'one')
    cluster.run(1)
    for server in cluster.servers.values():
        server.stop()
        server.start()
    index = cluster.propose(b'two')
    cluster.run(1)
    assert {server.applied for server in cluster.servers.values()} == {index}


def test_isolated_leader_loses_quorum_before_next_election():
    """An isolated leader that serves reads after the next election would serve stale state."""
    cluster = _start_cluster()
    old = cluster.find_leader()
    cluster.cut.add(old.name)
    while len(cluster.oracle.leaders) < 2:
        cluster.run(0.01)
    assert not old.node.has_quorum(old.now)
    cluster.run(2)
    assert old.node.role != Role.leader
    index = cluster.propose(b'after')
    cluster.cut.clear()
    cluster.run(2)
    assert old.applied == index


def test_lagging_member_gets_no_vote():
    """A leader without the newest committed record would overwrite it."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    lagging, voter = _other_names(cluster, leader.name)
    cluster.cut.add(lagging)
    cluster.propose(b'one')
    cluster.run(1)
    leader.stop()
    cluster.cut.clear()
    cluster.now += 1
    cluster.mail.clear()
    cluster.request_vote(lagging, voter)
    assert [envelope.body.granted for envelope in cluster.mail] == [False]


def test_leader_with_stalled_disk_steps_down():
    """Otherwise its followers would accept a leader that cannot apply any record."""
    cluster = _start_cluster()
    old = cluster.find_leader()
    old.auto_sync = False
    cluster.propose(b'stalled')
    cluster.run(4)
    assert cluster.elect_leader().name != old.name
    cluster.propose(b'one')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'one'


def test_member_with_stalled_disk_queues_no_records():
    """A queue that grows while the disk refuses writes would exceed the memory of the member."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    stalled = cluster.servers[_other_names(cluster, leader.name)[0]]
    stalled.auto_sync = False
    for _ in range(100):
        index = cluster.propose(b'x' * 1000)
        cluster.run(0.1)
    queued = [entry for batch in stalled.disk.pending for entry in batch.records]
    waiting = stalled.node._state.output_buffer._waiting_sends
    assert len(queued) < 30
    assert len(waiting) < 100
    stalled.auto_sync = True
    stalled.sync()
    cluster.run(1)
    assert stalled.applied == index


def test_uncommitted_records_of_isolated_leader_are_replaced():
    """An uncommitted record must be replaced by the log of the next leader."""
    cluster = _start_cluster()
    old = cluster.find_leader()
    cluster.cut.add(old.name)
    old.node.propose(old.now, b'lost')
    old.drain()
    cluster.run(2)
    index = cluster.propose(b'kept')
    cluster.cut.clear()
    cluster.run(2)
    assert old.applied == index
    assert b'lost' not in [entry.command for entry in cluster.oracle.committed]


def test_reconnected_member_does_not_depose_leader():
    """Without pre-votes, a member that was isolated would force an election on return."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    term = leader.node.term
    isolated_name = _other_names(cluster, leader.name)[0]
    cluster.cut.add(isolated_name)
    cluster.run(5)
    cluster.cut.clear()
    cluster.run(2)
    assert (cluster.find_leader(), leader.node.term) == (leader, term)


def test_lagging_member_receives_snapshot_in_chunks():
    """A state longer than one message must still reach a lagging member."""
    cluster = _start_cluster(trailing_records=0, part_bytes=100)
    leader = cluster.find_leader()
    lagging = cluster.servers[_other_names(cluster, leader.name)[0]]
    lagging.stop()
    for number in range(100):
        index = cluster.propose(b'command %d' % number)
    cluster.run(1)
    leader.snapshot()
    lagging.start()
    cluster.run(3)
    assert lagging.applied == index
    assert lagging.disk.state.snapshot == leader.disk.state.snapshot


def test_large_records_before_snapshot_leave_memory():
    """A few hundred records of half a megabyte would exceed the memory of a member."""
    cluster = _start_cluster(trailing_records=100, trailing_bytes=1000)
    for _ in range(50):
        index = cluster.propose(b'x' * 100)
    cluster.run(1)
    leader = cluster.find_leader()
    leader.snapshot()
    log = leader.node._state.log
    kept = log.read(log.base_index + 1, index)
    assert 0 < sum(len(entry.command) for entry in kept) <= 1000


def test_restart_loads_snapshot():
    """The snapshot must replace the records that it covers."""
    cluster = _start_cluster(trailing_records=0)
    index = cluster.propose(b'one')
    cluster.run(1)
    server = cluster.servers['a']
    server.snapshot()
    server.stop()
    server.start()
    assert server.applied == index
    assert not server.disk.state.records
