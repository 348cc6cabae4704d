"""Tests that the group survives any sequence of losses that it tolerates, one after the other."""

import enum
import random

import pytest

from bergamotcart.consensus import Role
from bergamotcart.consensus.tests._cluster import Cluster, Server

# Bound of the deployments: a machine counts as lost until this time after it is back.
_CATCH_UP_S = 4.0
_RECORD_INTERVAL_S = 0.08
_STEP_S = 0.02
_LOSSES = 6
# Number of machines, number of losses tolerated at the same time, and seed.
_SCHEDULES = (
    (3, 1, 1),
    (3, 1, 3),
    (6, 1, 0),
    (5, 2, 2),
    (6, 2, 0),
    (6, 2, 9),
)


@enum.unique
class _Loss(enum.Enum):
    """What happens to a machine."""

    kept_disk = 'stopped for a while'
    empty_disk = 'back with an empty disk'
    isolation = 'isolated for a while'
    replaced = 'gone for good, then replaced'
    planned_replacement = 'replaced, then gone for good'


class _Deployment:
    """A cluster with a steady stream of records, whose machines are lost in turn."""

    def __init__(self, machines: int, tolerated_losses: int, seed: int) -> None:
        self._random = random.Random(seed)
        names = 'abcde'[: min(machines, 2 * tolerated_losses + 1)]
        self.cluster = Cluster(names, seed=seed, tolerated_losses=tolerated_losses)
        self.cluster.settings['seed'] = seed
        self._next_record_at = 0.0
        self._machine_count = 0
        self._present = list(names)
        for server in self.cluster.servers.values():
            server.availability_zone = f'zone-{server.name}'
        self.cluster.start_all()
        self.cluster.elect_leader()
        # Later members only ask for admission.
        self.cluster.settings['may_bootstrap'] = False
        for _ in range(machines - len(names)):
            self._add_machine('spare')
        self.run(_CATCH_UP_S)

    def run(self, seconds: float) -> None:
        """Run while leaders write records and propose the membership changes that are due."""
        cluster = self.cluster
        end = cluster.now + seconds
        while cluster.now < end:
            if cluster.now >= self._next_record_at:
                self._next_record_at = cluster.now + _RECORD_INTERVAL_S
                self._write_record()
            cluster.propose_readmission()
            cluster.run(_STEP_S, _STEP_S)

    def lose(self, count: int) -> None:
        """Lose some machines at about the same time, and wait until they no longer count as lost.

        A planned replacement counts as no loss, so the next one may follow at once.
        """
        victims = self._random.sample(self._present, count)
        kinds = [self._random.choice(list(_Loss)) for _ in victims]
        for name, kind in zip(victims, kinds, strict=True):
            if kind == _Loss.planned_replacement:
                self._add_machine(name)
        if _Loss.planned_replacement in kinds:
            self.run(_CATCH_UP_S)
        for name, kind in zip(victims, kinds, strict=True):
            self._start_loss(name, kind)
            self.run(self._random.choice((0, 0, 0.3)))
        if set(kinds) == {_Loss.planned_replacement}:
            return
        self.run(self._random.uniform(0, 3))
        for name, kind in zip(victims, kinds, strict=True):
            self._end_loss(name, kind)
        self.run(_CATCH_UP_S)
        self.check_leader()

    def check_leader(self) -> None:
        """Check that there is a leader, and that it commits a new record."""
        index = self.cluster.propose(b'check')
        self.run(0.5)
        assert len(self.cluster.oracle.committed) >= index

    def _write_record(self) -> None:
        for server in self.cluster.servers.values():
            if server.node and server.node.role == Role.leader:
                server.node.propose(server.now, b'next')
                server.drain()

    def _add_machine(self, replaced: str) -> None:
        self._machine_count += 1
        name = f'{replaced[0]}{self._machine_count}'
        # The settings of a new machine name some that are there.
        self.cluster.initial_names = self._random.sample(self._present, min(3, len(self._present)))
        server = self.cluster.add_server(name)
        server.availability_zone = f'zone-{name[0]}'
        server.start()
        self._present.append(name)

    def _start_loss(self, name: str, kind: _Loss) -> None:
        server: Server = self.cluster.servers[name]
        if kind == _Loss.isolation:
            self.cluster.cut.add(name)
            return
        server.stop()
        if kind in {_Loss.replaced, _Loss.planned_replacement}:
            self._present.remove(name)
        elif kind == _Loss.empty_disk:
            server.empty_disk()

    def _end_loss(self, name: str, kind: _Loss) -> None:
        if kind == _Loss.isolation:
            self.cluster.cut.discard(name)
        elif kind == _Loss.replaced:
            self._add_machine(name)
        elif kind != _Loss.planned_replacement:
            self.cluster.servers[name].start()


@pytest.mark.parametrize(('machines', 'tolerated_losses', 'seed'), _SCHEDULES)
def test_leader_after_each_tolerated_loss(machines, tolerated_losses, seed):
    """Losses of one copy after the other, each after the former had its time, left no leader."""
    deployment = _Deployment(machines, tolerated_losses, seed)
    for _ in range(_LOSSES):
        deployment.lose(tolerated_losses)
    deployment.run(_CATCH_UP_S)
    deployment.check_leader()
