"""State of one member that elections, replication and following share."""

import random

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._config import ConsensusConfig, Role, RoleChange
from bergamotcart.consensus._durable import DurableState, HardState, Snapshot
from bergamotcart.consensus._log import Log
from bergamotcart.consensus._membership import (
    Members,
    find_member,
    identity,
    member_id,
    voter_ids,
)
from bergamotcart.consensus._outbox import Outbox


class Core:
    """Log, hard state, role and timers of this member."""

    __slots__ = (
        '_addresses',
        '_random',
        '_reported_term',
        'commit_index',
        'config',
        'contacts',
        'election_at',
        'hard',
        'heard_at',
        'leader',
        'log',
        'now',
        'outbox',
        'role',
        'role_changes',
        'snapshot',
        'snapshot_to_load',
        'taken_index',
    )

    def __init__(self, now: float, config: ConsensusConfig, durable: DurableState) -> None:
        """Resume from the durable state.

        :param now: current time in seconds.
        :param config: configuration.
        :param durable: content of the data folder.
        """
        self.config = config
        self.now = now
        self.hard = durable.hard
        self.log = Log(durable)
        self.outbox = Outbox(self.log.last_index)
        self.snapshot = durable.snapshot
        self.snapshot_to_load = durable.snapshot
        self.commit_index = self.log.base_index
        self.taken_index = self.log.base_index
        self.role = Role.follower
        self.leader: str | None = None
        self._reported_term = durable.hard.term
        self.role_changes: list[RoleChange] = []
        self._random = random.Random(f'{config.seed}/{config.name}/{durable.hard.incarnation}')
        self._addresses: dict[str, str] = {}
        self.contacts = {member.name: member.address for member in config.initial_members}
        # A restart forgets when the leader was last heard, so it counts as hearing it.
        self.heard_at = now if config.started_at is None else min(config.started_at, now)
        self._plan_first_election()

    @property
    def my_id(self) -> str:
        """Identity of this member."""
        return identity(self.config.name, self.hard.incarnation)

    @property
    def members(self) -> Members:
        """Membership in force: the newest in the log, committed or not."""
        return self.log.members

    @property
    def voters(self) -> frozenset[str]:
        """Identities of the voters in force."""
        return voter_ids(self.log.members)

    @property
    def is_voter(self) -> bool:
        """Whether this member may vote and stand."""
        return self.my_id in self.voters

    @property
    def is_formed(self) -> bool:
        """Whether the log knows a membership."""
        return bool(self.log.members)

    @property
    def may_found(self) -> bool:
        """Whether this member may take part in forming a group."""
        return self.config.may_found and not self.is_formed

    @property
    def initial_names(self) -> tuple[str, ...]:
        """Names of the initial members, sorted."""
        return tuple(sorted(member.name for member in self.config.initial_members))

    @property
    def heard_recently(self) -> bool:
        """Whether a leader was heard less than the least election timeout ago."""
        return self.now < self.heard_at + self.config.election_timeout_s[0]

    def restart_election_timer(self) -> None:
        """Choose a random time for the next election."""
        least, greatest = self.config.election_timeout_s
        self.election_at = self.now + self._random.uniform(least, greatest)

    def learn_address(self, envelope: messages.Envelope) -> None:
        """Remember where a member sends from; it may have moved since its membership record."""
        sender = identity(envelope.sender, envelope.incarnation)
        if not self.is_formed or sender in {member_id(member) for member in self.members}:
            self._addresses[envelope.sender] = envelope.sender_address

    def find_address(self, member: str) -> str | None:
        """Return where a member can be reached, if that is known."""
        address = self._addresses.get(member)
        if address is None:
            known = find_member(self.members, member)
            address = known.address if known else self.contacts.get(member)
        return address

    def send(self, recipient: str, body: messages.Body) -> None:
        """Send a message that promises nothing about durable state."""
        message = self._address(recipient, body)
        if message:
            self.outbox.send(message)

    def send_when_synced(self, recipient: str, body: messages.Body) -> None:
        """Send a message once everything decided so far is synced."""
        message = self._address(recipient, body)
        if message:
            self.outbox.send_when_synced(message)

    def send_to(self, recipient: str, address: str, body: messages.Body) -> None:
        """Send a message that promises nothing about durable state to a given address."""
        self.outbox.send(Send(recipient, address, body))

    def reply(self, envelope: messages.Envelope, body: messages.Body) -> None:
        """Answer a message with one that promises nothing about durable state."""
        self.send_to(envelope.sender, envelope.sender_address, body)

    def reply_when_synced(self, envelope: messages.Envelope, body: messages.Body) -> None:
        """Answer a message once everything decided so far is synced."""
        self.outbox.send_when_synced(Send(envelope.sender, envelope.sender_address, body))

    def write_hard(self, term: int, voted_for: str | None) -> None:
        """Enter a term or give a vote."""
        self.hard = HardState(
            incarnation=self.hard.incarnation,
            term=term,
            voted_for=voted_for,
        )
        self.outbox.write_hard(self.hard)

    def enter_term(self, term: int, reason: str) -> None:
        """Follow in a newer term without a known leader."""
        self.write_hard(term, None)
        self.change_role(Role.follower, None, reason)

    def change_role(self, role: Role, leader: str | None, reason: str) -> None:
        """Set the role and the known leader, and report it if anything changed."""
        if (role, leader, self.hard.term) == (self.role, self.leader, self._reported_term):
            return
        self.role = role
        self.leader = leader
        self._reported_term = self.hard.term
        change = RoleChange(role=role, term=self.hard.term, leader=leader, reason=reason)
        self.role_changes.append(change)

    def append(self, records: tuple[messages.LogEntry, ...]) -> None:
        """Append records to the log and to the pending batch."""
        self.log.append(records)
        self.outbox.write_records(records)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot the newest one."""
        self.snapshot = snapshot
        self.outbox.write_snapshot(snapshot)

    def take_committed(self) -> tuple[messages.LogEntry, ...]:
        """Return the committed records that were not returned before.

        Records that are not yet synced here wait: a snapshot never runs ahead of them.
        """
        last = min(self.commit_index, self.outbox.durable_index)
        if last <= self.taken_index:
            return ()
        records = self.log.read(self.taken_index + 1, last)
        self.taken_index = last
        return records

    def _plan_first_election(self) -> None:
        """Stand soon after a start that took long, since all members may have started anew."""
        least, greatest = self.config.election_timeout_s
        earliest = max(self.now, self.heard_at + least)
        self.election_at = earliest + self._random.uniform(0, greatest - least)

    def _address(self, recipient: str, body: messages.Body) -> Send | None:
        address = self.find_address(recipient)
        return None if address is None else Send(recipient, address, body)
