"""A simulated cluster in one process: members, network and clock."""

import itertools
import random
from collections.abc import Iterable

from msgspec.structs import replace

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus import ConsensusConfiguration, ConsensusNode, InitialMember, Role
from bergamotcart.consensus._log import Log
from bergamotcart.consensus._membership import Members, identity, is_majority, voter_ids
from bergamotcart.consensus.tests._oracle import Disk, Oracle, check_response_is_synced


class Server:
    """One member with its disk; ``node`` is ``None`` while the process is stopped."""

    def __init__(self, cluster: 'Cluster', name: str) -> None:
        """Create a stopped member with an empty data folder."""
        self.cluster = cluster
        self.name = name
        self.address = f'addr-{name}'
        self.former_addresses: set[str] = set()
        # The zones of a, b and c differ; d is in the zone of a.
        self.availability_zone = f'zone-{ord(name[0]) % 3}'
        # The members that the settings named when this server was added.
        self.seeds = tuple(cluster.initial_names)
        self.folder_count = 0
        self.disk = self.empty_disk()
        self.node: ConsensusNode | None = None
        self.applied = 0
        self.leader_commit_index: int | None = None
        self.auto_sync = True
        self.paused = False
        # Monotonic clocks of different VMs have unrelated offsets.
        self.clock_offset_s = cluster.random.uniform(0, 1000)

    @property
    def identity(self) -> str:
        """Identity of the member whose state is on the disk."""
        return identity(self.name, self.disk.state.hard_state.incarnation)

    @property
    def now(self) -> float:
        """Time of the monotonic clock of this server, in seconds."""
        return self.cluster.now + self.clock_offset_s

    @property
    def is_active(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.node is not None and not self.paused

    def empty_disk(self) -> Disk:
        """Replace the disk by an empty data folder with a new incarnation."""
        self.folder_count += 1
        self.disk = Disk(f'{self.name}{self.folder_count}')
        self.cluster.disks[self.identity] = self.disk
        return self.disk

    def move(self) -> None:
        """Continue at another address, at the next start."""
        self.former_addresses.add(self.address)
        self.address = f'{self.address}-new'

    def start(self) -> None:
        """Start the process from the synced state."""
        self.disk.pending.clear()
        self.applied = 0
        self.leader_commit_index = None
        self.node = ConsensusNode(
            self.now, self.cluster.make_configuration(self.name), self.disk.state
        )
        self.drain()

    def stop(self) -> None:
        """Stop the process, and discard the batches that are not synced."""
        self.node = None
        self.paused = False
        self.disk.pending.clear()

    def sync(self) -> None:
        """Sync the oldest pending batch, and acknowledge it to the node."""
        batch_id = self.disk.sync()
        if batch_id is not None and self.node:
            self.node.persisted(self.now, batch_id)
            self.drain()

    def tick(self) -> None:
        """Run the timers of the node, unless it is stopped or paused."""
        if self.is_active:
            self.node.tick(self.now)
            self.drain()

    def snapshot(self) -> None:
        """Take a snapshot of the applied state, which compacts the log."""
        if self.node and self.node.take_snapshot(self.cluster.oracle.encode_state(self.applied)):
            self.drain()

    def drain(self) -> None:
        """Perform the outputs of the node, and check them against the oracle."""
        self._check_commit()
        outputs = self.node.take_outputs()
        self.disk.pending.extend(outputs.batches)
        for change in outputs.role_changes:
            if change.role == Role.leader:
                member = f'{self.name}/{self.node.incarnation}'
                self.cluster.oracle.record_leader(change.term, member)
        if outputs.snapshot:
            self.applied = outputs.snapshot.last_index
            assert outputs.snapshot.state == self.cluster.oracle.encode_state(self.applied)
        for entry in outputs.committed:
            assert entry.index == self.applied + 1, f'committed record {entry.index} follows a gap'
            self.applied = entry.index
            self.cluster.oracle.record_committed(entry)
        for send in outputs.sends:
            check_response_is_synced(self.disk, send)
            self.cluster.send(self, send)
        if self.auto_sync and self.disk.pending:
            self.sync()

    def _check_commit(self) -> None:
        """Check that a leader commits only records of its term that a majority has synced."""
        node = self.node
        before = self.leader_commit_index
        self.leader_commit_index = node.commit_index if node.role == Role.leader else None
        if before is None or self.leader_commit_index in {None, before}:
            return
        entry = node._state.log.read(node.commit_index, node.commit_index)[0]
        assert entry.term == node.term, f'{entry} of an older term is committed'
        holders = [key for key, disk in self.cluster.disks.items() if disk.holds(entry)]
        voters = voter_ids(node.members)
        assert is_majority(holders, voters), f'{entry} is committed, but synced only on {holders}'


def _find_promotions(members: Members) -> list[Members]:
    """Return the membership with each choice of its non-voters promoted, also with none."""
    choices = [
        (member,) if member.voter else (member, replace(member, voter=True)) for member in members
    ]
    return list(itertools.product(*choices))


class Cluster:
    """Servers, the messages in flight between them, and the clock."""

    def __init__(self, names: str = 'abc', seed: int = 0, **settings: object) -> None:
        """Create stopped servers with empty data folders."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.settings = settings
        self.initial_names: Iterable[str] = names
        self.oracle = Oracle()
        self.mail: list[messages.Envelope] = []
        # Includes replaced disks, since records synced on them count for past commits.
        self.disks: dict[str, Disk] = {}
        self.cut: set[str] = set()
        # Extra seconds that a message of or to a server takes, by name.
        self.delays_s: dict[str, float] = {}
        self._delayed: list[tuple[float, messages.Envelope]] = []
        self.servers = {name: Server(self, name) for name in names}

    def make_configuration(self, name: str) -> ConsensusConfiguration:
        """Return the configuration of one member."""
        server = self.servers[name]
        initial = tuple(
            InitialMember(
                name=member,
                address=f'addr-{member}',
                availability_zone=self.servers[member].availability_zone,
            )
            for member in server.seeds
        )
        return ConsensusConfiguration(
            name=name,
            address=server.address,
            availability_zone=server.availability_zone,
            initial_members=initial,
            **self.settings,
        )

    def add_server(self, name: str) -> Server:
        """Create a server that is not an initial member."""
        self.servers[name] = Server(self, name)
        return self.servers[name]

    def start_all(self) -> None:
        """Start every server."""
        for server in self.servers.values():
            server.start()

    def send(self, sender: Server, send: Send) -> None:
        """Add a message to those in flight, unless the recipient has left its address."""
        recipient = self.servers[send.recipient]
        assert send.address in {recipient.address, *recipient.former_addresses}
        if send.address != recipient.address:
            return
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='test',
            sender=sender.name,
            incarnation=sender.node.incarnation,
            sender_address=sender.address,
            recipient=send.recipient,
            body=send.body,
        )
        self.mail.append(envelope)

    def deliver(self, envelope: messages.Envelope) -> None:
        """Deliver a message, unless the recipient is inactive or either side is isolated."""
        server = self.servers[envelope.recipient]
        if server.is_active and not self.cut.intersection((envelope.sender, server.name)):
            encoded = messages.encode(envelope)
            server.node.receive(server.now, messages.decode(encoded, 'test'))
            server.drain()

    def deliver_all(self) -> None:
        """Deliver the messages that are now in flight and not delayed further, in order."""
        in_flight = self._delayed
        for envelope in self.mail:
            names = (envelope.sender, envelope.recipient)
            delay_s = sum(self.delays_s.get(name, 0) for name in names)
            in_flight.append((self.now + delay_s, envelope))
        self.mail.clear()
        self._delayed = [waiting for waiting in in_flight if waiting[0] > self.now]
        for due_at, envelope in in_flight:
            if due_at <= self.now:
                self.deliver(envelope)

    def request_vote(self, candidate: str, voter: str) -> None:
        """Deliver a vote request for the next term, without a pre-vote."""
        node = self.servers[candidate].node
        request = messages.VoteRequest(
            term=node.term + 1,
            last_index=node.last_index,
            last_term=node.term,
            members=node.members,
        )
        self.send(self.servers[candidate], Send(voter, f'addr-{voter}', request))
        self.deliver_all()

    def run(self, seconds: float, step: float = 0.01) -> None:
        """Advance the clock in steps; the delivery of a message takes one step."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.deliver_all()
            for server in self.servers.values():
                server.tick()

    def find_leader(self) -> Server | None:
        """Return a leader that has a quorum, or ``None``."""
        for server in self.servers.values():
            if server.node and server.node.has_quorum(server.now):
                return server
        return None

    def elect_leader(self, limit_s: float = 20) -> Server:
        """Run until there is a leader with a quorum, and return it."""
        end = self.now + limit_s
        while self.find_leader() is None:
            assert self.now < end, f'no leader within {limit_s} s'
            self.run(0.05)
        return self.find_leader()

    def propose(self, command: bytes) -> int:
        """Propose a command at the leader, and return the index of its record."""
        leader = self.elect_leader()
        index = leader.node.propose(leader.now, command)
        leader.drain()
        return index

    def run_until_all_are_voters(self, limit_s: float = 20) -> None:
        """Run until every server is a voter; leaders propose the changes that are due."""
        end = self.now + limit_s
        while not self._are_all_voters():
            assert self.now < end, f'not re-admitted within {limit_s} s'
            self.propose_readmission()
            self.run(0.05)

    def propose_readmission(self) -> None:
        """Let each leader propose the membership change that is due."""
        for server in self.servers.values():
            members = server.node.find_readmission(server.now) if server.node else None
            if members:
                server.node.propose_members(server.now, members)
                server.drain()

    def find_present(self) -> set[str]:
        """Return the identities whose data folder still exists."""
        return {server.identity for server in self.servers.values()}

    def find_memberships(self) -> list[Members]:
        """Return the memberships that are committed, in a log, on a disk or in a message."""
        memberships = [entry.members for entry in self.oracle.committed if entry.members][-1:]
        for server in self.servers.values():
            memberships.append(Log(server.disk.state).members)
            memberships.append(server.node.members if server.node else ())
        for envelope in self.mail:
            records = getattr(envelope.body, 'records', ())
            memberships.extend(entry.members for entry in records if entry.members)
        # Any non-voters may be promoted before the leader detects that a disk was lost.
        return [
            promoted for members in memberships if members for promoted in _find_promotions(members)
        ]

    def _are_all_voters(self) -> bool:
        return all(server.node and server.node.is_voter for server in self.servers.values())
