"""Tests of a group whose disks are slow."""

import pytest

from bergamotcart.consensus.tests._cluster import Cluster

_RUN_S = 20
_PROPOSAL_INTERVAL_S = 0.1
_STEP_S = 0.01


class _SlowDisks:
    """Syncs the batches of each server after a delay.

    As in ``BatchWriter``, batches that arrive during a sync share the next one.

    :param sync_s: seconds that each sync takes.
    """

    def __init__(self, cluster: Cluster, sync_s: float) -> None:
        """Take over the syncs of all servers."""
        self._cluster = cluster
        self._sync_s = sync_s
        self._syncs: dict[str, tuple[float, int]] = {}
        for server in cluster.servers.values():
            server.auto_sync = False

    def run(self, seconds: float) -> None:
        """Advance the clock while the disks sync."""
        end = self._cluster.now + seconds
        while self._cluster.now < end:
            for server in self._cluster.servers.values():
                self._sync_if_due(server)
            self._cluster.run(_STEP_S, _STEP_S)

    def _sync_if_due(self, server) -> None:
        if not server.disk.pending:
            return
        started = (self._cluster.now + self._sync_s, len(server.disk.pending))
        synced_at, batches = self._syncs.setdefault(server.name, started)
        if self._cluster.now >= synced_at:
            self._syncs.pop(server.name)
            batch_ids = [server.disk.sync() for _ in range(batches)]
            if server.node:
                server.node.persisted(server.now, batch_ids[-1])
                server.drain()


def _start_cluster() -> Cluster:
    cluster = Cluster()
    cluster.start_all()
    cluster.elect_leader()
    cluster.run(1)
    return cluster


@pytest.mark.parametrize('sync_s', (0.2, 0.45, 0.9))
def test_leader_keeps_quorum_while_all_disks_are_slow(sync_s):
    """Followers answered only after a sync, so a leader without answers stepped down."""
    cluster = _start_cluster()
    disks = _SlowDisks(cluster, sync_s)
    leader = cluster.find_leader()
    proposals = 0
    end = cluster.now + _RUN_S
    while cluster.now < end:
        leader.node.propose(leader.now, b'change')
        leader.drain()
        proposals += 1
        disks.run(_PROPOSAL_INTERVAL_S)
        assert cluster.find_leader() is leader
    disks.run(3 * sync_s)
    committed = [entry.command for entry in cluster.oracle.committed if entry.command]
    assert len(committed) == proposals


@pytest.mark.parametrize('sync_s', (0.2, 0.45, 0.9))
def test_leader_is_elected_while_all_disks_are_slow(sync_s):
    """Each candidate gave up before its votes were synced."""
    cluster = _start_cluster()
    disks = _SlowDisks(cluster, sync_s)
    cluster.find_leader().stop()
    disks.run(10)
    assert cluster.find_leader() is not None
