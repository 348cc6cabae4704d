"""Fuzz tests that search for fault schedules that violate an invariant of the replicated log.

``BERGAMOTCART_FUZZ_EXAMPLES`` sets the number of schedules. ``BERGAMOTCART_FUZZ_SEED`` draws
other schedules than the fixed ones.
"""

import os
import random

from hypothesis import HealthCheck, Phase, seed, settings, stateful
from hypothesis import strategies as st

from bergamotcart.consensus import Role
from bergamotcart.consensus._membership import Members, is_majority, voter_ids
from bergamotcart.consensus.tests._cluster import Cluster, Server

_EXAMPLES = int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '30'))
_SEED = os.environ.get('BERGAMOTCART_FUZZ_SEED')
_MAX_IN_FLIGHT = 400
# Limit for the recovery after the faults: elections, two membership changes, snapshot transfer.
_RECOVERY_LIMIT_S = 60
# Number of voters needed to tolerate one loss.
_REQUIRED_VOTERS = 3

_servers = st.sampled_from('abcd')


class ConsensusMachine(stateful.RuleBasedStateMachine):
    """Three initial members and one newcomer, with faults drawn by hypothesis."""

    tolerated_losses: int | None = None

    def __init__(self) -> None:
        """Start all members with empty data folders."""
        super().__init__()
        self.cluster = Cluster(
            trailing_records=2,
            chunk_bytes=40,
            tolerated_losses=self.tolerated_losses,
        )
        self.cluster.add_server('d')
        self.servers = self.cluster.servers
        self.commands = 0
        for server in self.servers.values():
            server.auto_sync = False
            server.start()

    @stateful.initialize(is_formed=st.booleans())
    def form_group(self, is_formed: bool) -> None:
        """Form the group before the faults start, or else during the faults."""
        if is_formed:
            self._run_without_faults(2)

    @stateful.rule(seconds=st.sampled_from((0.01, 0.1, 0.5, 3)), name=_servers)
    def advance_clock(self, seconds: float, name: str) -> None:
        """Advance the clock but tick one member only, so that the timers of the others run late."""
        self.cluster.now += seconds
        self.servers[name].tick()

    @stateful.rule(position=st.integers(0, _MAX_IN_FLIGHT), duplicate=st.booleans())
    def deliver_message(self, position: int, duplicate: bool) -> None:
        """Deliver a message out of order, and keep a duplicate in flight if asked to."""
        self._deliver(position, duplicate=duplicate)

    @stateful.rule(rng_seed=st.integers(0, 2**32), steps=st.sampled_from((50, 200)))
    def run_with_faults(self, rng_seed: int, steps: int) -> None:
        """Run many small steps, some with a lost, duplicated or delayed message or other fault."""
        rng = random.Random(rng_seed)
        for _ in range(steps):
            self.cluster.now += rng.choice((0.01, 0.01, 0.1))
            self._run_faulty_step(rng)
            self.check_quorum()

    @stateful.rule(seconds=st.sampled_from((0.2, 1, 3)))
    def run_without_faults(self, seconds: float) -> None:
        """Run without new faults, so that the group makes progress before later faults."""
        self._run_without_faults(seconds)

    @stateful.rule()
    def propose_command(self) -> None:
        """Propose a command at every member that considers itself the leader."""
        for server in self._find_leaders():
            self.commands += 1
            server.node.propose(server.now, b'%d' % self.commands)
            server.process_outputs()

    @stateful.rule(changed=_servers)
    def change_members(self, changed: str) -> None:
        """Remove a member, or admit the newcomers if it is no member.

        The change is skipped if the new voters that still have their disk are no majority. No
        operator would request it, and the leader refuses it only once it has detected the loss.
        """
        for server in self._find_leaders():
            members = server.node.members
            wanted = tuple(member for member in members if member.name != changed)
            if wanted == members:
                wanted = (*members, *server.node.newcomers)
            if is_majority(self.cluster.find_current_identities(), voter_ids(wanted)):
                server.node.propose_members(server.now, wanted)
                server.process_outputs()

    @stateful.rule(name=_servers)
    def resign(self, name: str) -> None:
        """Let a member step down as leader."""
        server = self.servers[name]
        if server.is_active:
            server.node.resign(server.now)
            server.process_outputs()

    @stateful.rule(name=_servers)
    def sync(self, name: str) -> None:
        """Sync one batch to the disk."""
        self.servers[name].sync()

    @stateful.rule(name=_servers)
    def take_snapshot(self, name: str) -> None:
        """Take a snapshot."""
        server = self.servers[name]
        if server.is_active:
            server.take_snapshot()

    @stateful.rule(name=_servers)
    def pause_or_resume(self, name: str) -> None:
        """Pause or resume a member, which does not notice the time that passes meanwhile."""
        server = self.servers[name]
        server.paused = not server.paused

    @stateful.rule(name=_servers)
    def isolate_or_reconnect(self, name: str) -> None:
        """Isolate a member from the network, or reconnect it."""
        self.cluster.isolated.symmetric_difference_update({name})

    @stateful.rule(name=_servers)
    def stop_or_start(self, name: str) -> None:
        """Stop a member and lose its unsynced batches, or start it."""
        server = self.servers[name]
        if server.node:
            server.stop()
        else:
            server.start()

    @stateful.rule(name=_servers)
    def empty_folder(self, name: str) -> None:
        """Replace a disk by an empty one, if every relevant membership keeps a majority."""
        server = self.servers[name]
        if self._may_empty_folder(server):
            server.stop()
            server.replace_disk()
            server.start()

    @stateful.invariant()
    def check_quorum(self) -> None:
        """Check that at most one member has a quorum; a second one would serve stale reads."""
        serving = [
            server.name
            for server in self.servers.values()
            if server.node and server.node.has_quorum(server.now)
        ]
        assert len(serving) < 2, f'{serving} lead at the same time'

    def teardown(self) -> None:
        """End the faults, and check that the members get their votes and a new record."""
        self.cluster.isolated.clear()
        for server in self.servers.values():
            server.paused = False
            if not server.node:
                server.start()
        end = self.cluster.now + _RECOVERY_LIMIT_S
        while not self._has_recovered():
            assert self.cluster.now < end, f'cluster has not recovered within {_RECOVERY_LIMIT_S} s'

    def _find_leaders(self) -> list[Server]:
        """Return the active members that consider themselves the leader."""
        return [
            server
            for server in self.servers.values()
            if server.is_active and server.node.role == Role.leader
        ]

    def _has_recovered(self) -> bool:
        self._run_without_faults(2)
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        index = leader.node.propose(leader.now, b'last')
        leader.process_outputs()
        self._run_without_faults(1)
        members = leader.node.members
        if not voter_ids(members).issubset(self.cluster.find_current_identities()):
            return False
        is_applied = all(self.servers[member.name].applied_index >= index for member in members)
        return is_applied and self._has_enough_voters(members)

    def _has_enough_voters(self, members: Members) -> bool:
        return all(member.voter for member in members)

    def _run_without_faults(self, seconds: float) -> None:
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            for server in self.servers.values():
                while server.disk.pending:
                    server.sync()
            self.cluster.run(0.02)
            self.cluster.propose_next_membership()
            self.check_quorum()

    def _run_faulty_step(self, rng: random.Random) -> None:
        name = rng.choice('abcd')
        server = self.servers[name]
        server.tick()
        if _is_drawn(rng, 500):
            server.sync()
        for _ in range(rng.randrange(8)):
            position = rng.randrange(_MAX_IN_FLIGHT) if _is_drawn(rng, 100) else 0
            self._deliver(position, duplicate=_is_drawn(rng, 100), lost=_is_drawn(rng, 50))
        is_healthy = server.node and name not in self.cluster.isolated
        if _is_drawn(rng, 20) or (not is_healthy and _is_drawn(rng, 200)):
            self._toggle_fault(rng, name)
        if _is_drawn(rng, 50):
            self.propose_command()
        if _is_drawn(rng, 30):
            self.take_snapshot(name)
        if _is_drawn(rng, 4):
            self.empty_folder(name)
        if _is_drawn(rng, 20):
            self.change_members(rng.choice('abcd'))
        self.cluster.propose_next_membership()

    def _toggle_fault(self, rng: random.Random, name: str) -> None:
        if name in self.cluster.isolated:
            self.isolate_or_reconnect(name)
        elif self.servers[name].node is None or _is_drawn(rng, 500):
            self.stop_or_start(name)
        else:
            self.isolate_or_reconnect(name)

    def _deliver(self, position: int, *, duplicate: bool, lost: bool = False) -> None:
        in_flight = self.cluster.in_flight
        if not in_flight:
            return
        envelope = in_flight.pop(position % len(in_flight))
        if duplicate:
            self.cluster.in_flight = [*in_flight, envelope][-_MAX_IN_FLIGHT:]
        if not lost:
            self.cluster.deliver(envelope)

    def _may_empty_folder(self, server: Server) -> bool:
        memberships = self.cluster.find_memberships()
        present = self.cluster.find_current_identities() - {server.identity}
        return bool(memberships) and all(
            is_majority(present, voter_ids(members)) for members in memberships
        )


class AutomaticMembershipMachine(ConsensusMachine):
    """The same, with a leader that admits, promotes and replaces members automatically."""

    tolerated_losses = 1

    def _has_enough_voters(self, members: Members) -> bool:
        return len(voter_ids(members)) == _REQUIRED_VOTERS


def _is_drawn(rng: random.Random, per_mille: int) -> bool:
    return rng.randrange(1000) < per_mille


_SETTINGS = settings(
    max_examples=_EXAMPLES,
    stateful_step_count=30,
    derandomize=_SEED is None,
    deadline=None,
    database=None,
    print_blob=True,
    # No shrinking: most of a schedule is drawn from one random seed, which cannot be shrunk.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
TestConsensus = ConsensusMachine.TestCase
TestConsensus.settings = _SETTINGS
TestAutomaticMembership = AutomaticMembershipMachine.TestCase
TestAutomaticMembership.settings = _SETTINGS
if _SEED is not None:
    seed(int(_SEED))(TestConsensus)
    seed(int(_SEED))(TestAutomaticMembership)
