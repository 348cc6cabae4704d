"""Tests of the formation of a group whose members may have started again meanwhile."""

import pytest

from bergamotcart.consensus.tests._cluster import Cluster

_WAIT_S = 10.0


def _start(cluster: Cluster, name: str, *, may_bootstrap: bool) -> None:
    cluster.settings['may_bootstrap'] = may_bootstrap
    cluster.servers[name].start()


def _start_again(cluster: Cluster, name: str) -> None:
    """Start a member again with an empty data folder, and the settings of a later start."""
    cluster.servers[name].stop()
    cluster.servers[name].empty_disk()
    _start(cluster, name, may_bootstrap=False)


@pytest.mark.parametrize('late', ['a', 'b', 'c'])
def test_founder_that_starts_again_does_not_prevent_formation(late):
    """A founder that ended before it wrote anything kept the others from forming the group."""
    cluster = Cluster()
    for name in 'abc':
        _start(cluster, name, may_bootstrap=name != late)
    cluster.elect_leader()
    cluster.run_until_all_are_voters()


@pytest.mark.parametrize('first', ['a', 'b', 'c'])
def test_minority_of_founders_does_not_form_group(first):
    """The others may have formed it, and have lost their disks since."""
    cluster = Cluster()
    for name in 'abc':
        _start(cluster, name, may_bootstrap=name == first)
    cluster.run(_WAIT_S)
    assert cluster.find_leader() is None


def test_lost_disk_does_not_let_isolated_founder_form_second_group():
    """It has not learnt of the formation, and the member that has lost its disk knows nothing."""
    cluster = Cluster()
    _start(cluster, 'a', may_bootstrap=True)
    _start(cluster, 'b', may_bootstrap=True)
    _start(cluster, 'c', may_bootstrap=True)
    while not _list_formed(cluster):
        cluster.run(0.01)
    isolated = sorted(set('abc') - _list_formed(cluster))[0]
    cluster.cut.add(isolated)
    leader = cluster.elect_leader().name
    cluster.run(1.0)
    lost = (set('abc') - {isolated, leader}).pop()
    cluster.cut = {leader}
    _start_again(cluster, lost)
    cluster.run(_WAIT_S)
    assert _list_formed(cluster) == {leader}
    cluster.cut.clear()
    cluster.run(2.0)
    cluster.run_until_all_are_voters()


def _list_formed(cluster: Cluster) -> set[str]:
    return {name for name, server in cluster.servers.items() if server.node.members}
