"""Tests of crashes while changes of voters are incomplete."""

from bergamotcart.consensus._membership import voter_ids
from bergamotcart.consensus.tests._cluster import Cluster, Server


def _find_demotion(cluster: Cluster, predecessor: str) -> Server | None:
    """Return the leader that has appended, but not committed, the demotion of a member."""
    leader = cluster.find_leader()
    if leader is None:
        return None
    is_voter = any(member.voter and member.name == predecessor for member in leader.node.members)
    is_committed = leader.node._state.log.members_index <= leader.node.commit_index
    return None if is_voter or is_committed else leader


def _start_handover(names: str, *, leads: bool) -> tuple[Cluster, Server, str]:
    """Run until the leader, or another voter, is demoted in the log of the leader only.

    :returns: the cluster with the messages of that step in flight, its leader, and the name of the
        demoted member.
    """
    cluster = Cluster(names, tolerated_losses=len(names) // 2)
    cluster.start_all()
    leader = cluster.elect_leader()
    cluster.propose(b'one')
    cluster.run(1)
    cluster.settings['may_bootstrap'] = False
    predecessor = next(name for name in names if (name == leader.name) == leads)
    cluster.add_server(f'{predecessor}1').start()
    for _ in range(400):
        cluster.run(0.01)
        cluster.propose_readmission()
        if _find_demotion(cluster, predecessor):
            return cluster, leader, predecessor
    raise AssertionError('no handover within 4 s')


def _check_commit(cluster: Cluster) -> None:
    index = cluster.propose(b'two')
    cluster.run(1)
    assert len(cluster.oracle.committed) >= index


def test_only_voter_restarts_during_handover():
    """No leader for good: the former voter alone had its demotion, and was no candidate."""
    cluster, leader, _ = _start_handover('a', leads=True)
    cluster.mail.clear()
    leader.stop()
    leader.start()
    _check_commit(cluster)


def test_disk_is_lost_while_all_lose_power_during_handover():
    """No leader for good: the others needed the vote of a member whose log was longer."""
    cluster, leader, _ = _start_handover('abc', leads=True)
    cluster.mail.clear()
    lost = next(name for name in 'abc' if name != leader.name)
    for server in cluster.servers.values():
        server.stop()
    for server in cluster.servers.values():
        if server.name != lost:
            server.start()
    _check_commit(cluster)


def test_leader_is_lost_while_only_demoted_member_has_the_record():
    """No leader for good after one loss: the demoted member had the longest log."""
    cluster, leader, predecessor = _start_handover('abc', leads=False)
    leader.stop()
    cluster.mail = [envelope for envelope in cluster.mail if envelope.recipient == predecessor]
    _check_commit(cluster)


def _replace_isolated(cluster: Cluster, isolated: str) -> None:
    """Isolate a voter until the first change that replaces it by a spare is committed."""
    voters = voter_ids(cluster.find_leader().node.members)
    cluster.cut.add(isolated)
    while voter_ids(cluster.find_leader().node.members) == voters:
        cluster.propose_readmission()
        cluster.run(0.01)
    cluster.run(0.05)


def test_disk_is_lost_while_isolated_voter_is_replaced():
    """No leader for good: the isolated voter kept its disk, but had lost its vote too early."""
    cluster = Cluster(tolerated_losses=1)
    cluster.start_all()
    leader = cluster.elect_leader()
    spare = cluster.add_server('d')
    spare.availability_zone = 'zone-d'
    spare.start()
    for _ in range(20):
        cluster.propose_readmission()
        cluster.run(0.05)
    isolated, lost = (name for name in 'abc' if name != leader.name)
    _replace_isolated(cluster, isolated)
    cluster.servers[lost].stop()
    cluster.cut.clear()
    _check_commit(cluster)
