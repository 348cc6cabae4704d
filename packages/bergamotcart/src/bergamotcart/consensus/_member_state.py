"""State of one member: its log, hard state, role and timers."""

import random

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._configuration import ConsensusConfiguration, Role, RoleChange
from bergamotcart.consensus._durable_state import DurableState, HardState, Snapshot
from bergamotcart.consensus._log import Log
from bergamotcart.consensus._membership import (
    Members,
    find_member,
    identity,
    member_id,
    voter_ids,
)
from bergamotcart.consensus._output_buffer import OutputBuffer


class MemberState:
    """State that the election, follower, leader and join code of this member share.

    The term, vote and log are durable; ``output_buffer`` collects the changes to persist.
    ``last_heard`` holds the incarnation and the time of the newest message of each member.
    """

    __slots__ = (
        '_sender_addresses',
        '_random',
        '_reported_term',
        'commit_index',
        'configuration',
        'contact_points',
        'election_at',
        'hard_state',
        'leader_contact_at',
        'leader',
        'last_heard',
        'log',
        'now',
        'output_buffer',
        'role',
        'role_changes',
        'snapshot',
        'snapshot_to_load',
        'delivered_index',
    )

    def __init__(
        self, now: float, configuration: ConsensusConfiguration, durable: DurableState
    ) -> None:
        """Resume from the durable state.

        :param now: current time in seconds.
        :param configuration: configuration of the node.
        :param durable: content of the data folder.
        """
        self.configuration = configuration
        self.now = now
        self.hard_state = durable.hard_state
        self.log = Log(durable)
        self.output_buffer = OutputBuffer(self.log.last_index)
        self.snapshot = durable.snapshot
        self.snapshot_to_load = durable.snapshot
        self.commit_index = self.log.base_index
        self.delivered_index = self.log.base_index
        self.role = Role.follower
        self.leader: str | None = None
        self._reported_term = durable.hard_state.term
        self.role_changes: list[RoleChange] = []
        self._random = random.Random(
            f'{configuration.seed}/{configuration.name}/{durable.hard_state.incarnation}'
        )
        # Incarnation and address of the newest sender of each name.
        self._sender_addresses: dict[str, tuple[str, str]] = {}
        self.last_heard: dict[str, tuple[str, float]] = {}
        self.contact_points = {
            member.name: member.address for member in configuration.initial_members
        }
        # The time of the last leader contact is not durable, so a start counts as a contact.
        self.leader_contact_at = (
            now if configuration.started_at is None else min(configuration.started_at, now)
        )
        self._schedule_first_election()

    @property
    def own_id(self) -> str:
        """Identity of this member."""
        return identity(self.configuration.name, self.hard_state.incarnation)

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
        """Whether this member has a vote in the membership in force."""
        return self.own_id in self.voters

    @property
    def may_be_candidate(self) -> bool:
        """Whether this member has a vote, or had one before a demotion that may be uncommitted.

        If no voter has the record of the demotion, the voters may need this member to elect a
        leader. It grants them no vote, as its log is longer, but the voters may elect it.
        """
        if self.is_voter:
            return True
        index = self.log.members_index
        if index <= self.commit_index or self.own_id not in map(member_id, self.members):
            return False
        return self.own_id in voter_ids(self.log.members_at(index - 1))

    @property
    def is_formed(self) -> bool:
        """Whether the log holds a membership."""
        return bool(self.log.members)

    @property
    def may_form_group(self) -> bool:
        """Whether this member may be a candidate that forms a group."""
        return self.configuration.may_bootstrap and not self.is_formed

    @property
    def initial_names(self) -> tuple[str, ...]:
        """Names of the initial members, sorted."""
        return tuple(sorted(member.name for member in self.configuration.initial_members))

    @property
    def has_recent_leader_contact(self) -> bool:
        """Whether the last leader contact is less than the least election timeout ago."""
        return self.now < self.leader_contact_at + self.configuration.election_timeout_s[0]

    @property
    def is_disk_stalled(self) -> bool:
        """Whether batches are waiting, and none was synced within two election timeouts."""
        return self.output_buffer.is_stalled(
            self.now - 2 * self.configuration.election_timeout_s[1]
        )

    def restart_election_timer(self) -> None:
        """Choose a random time for the next election.

        An election takes longer on slow disks: before a vote is synced, a sync that has already
        started must end. A candidate that gave up before its votes arrive would never be elected.
        """
        least, greatest = self.configuration.election_timeout_s
        sync_s = min(self.output_buffer.estimate_sync_s(self.now), 2 * greatest)
        self.election_at = self.now + self._random.uniform(least, greatest) + 2 * sync_s

    def record_sender(self, envelope: messages.Envelope) -> None:
        """Record the time of a message and the address of its sender.

        The address may differ from the one in the membership.
        """
        sender = identity(envelope.sender, envelope.incarnation)
        if not self.is_formed or sender in {member_id(member) for member in self.members}:
            self._sender_addresses[envelope.sender] = (
                envelope.incarnation,
                envelope.sender_address,
            )
            self.last_heard[envelope.sender] = (envelope.incarnation, self.now)

    def find_address(self, member: str) -> str | None:
        """Return the inter-process address of a member, or ``None`` if it is unknown."""
        known = find_member(self.members, member)
        incarnation, address = self._sender_addresses.get(member, ('', None))
        if address is not None and (known is None or known.incarnation == incarnation):
            return address
        return known.address if known else self.contact_points.get(member)

    def change_contact_points(self, contact_points: dict[str, str]) -> None:
        """Replace the contact points, and forget the sender addresses that they contradict.

        :param contact_points: inter-process addresses by name.
        """
        for name, address in contact_points.items():
            if self.contact_points.get(name) != address:
                self._sender_addresses.pop(name, None)
        self.contact_points = dict(contact_points)

    def send(self, recipient: str, body: messages.Body, *, synced_index: int = 0) -> None:
        """Send a message that depends on no durable state but the records up to an index."""
        message = self._make_send(recipient, body)
        if message and synced_index > self.output_buffer.durable_index:
            self.output_buffer.send_when_synced(message)
        elif message:
            self.output_buffer.send(message)

    def send_to_address(self, recipient: str, address: str, body: messages.Body) -> None:
        """Send a message that does not depend on durable state to a given address."""
        self.output_buffer.send(Send(recipient, address, body))

    def reply(self, envelope: messages.Envelope, body: messages.Body) -> None:
        """Reply to a message at once; the reply must not depend on durable state."""
        self.send_to_address(envelope.sender, envelope.sender_address, body)

    def reply_when_synced(self, envelope: messages.Envelope, body: messages.Body) -> None:
        """Reply to a message once all changes made so far are synced."""
        self.output_buffer.send_when_synced(Send(envelope.sender, envelope.sender_address, body))

    def write_hard_state(self, term: int, voted_for: str | None) -> None:
        """Write a new term or vote to the hard state."""
        self.hard_state = HardState(
            incarnation=self.hard_state.incarnation,
            term=term,
            voted_for=voted_for,
        )
        self.output_buffer.write_hard_state(self.hard_state)

    def enter_term(self, term: int, reason: str) -> None:
        """Become a follower in a newer term, without a known leader."""
        self.write_hard_state(term, None)
        self.change_role(Role.follower, None, reason)

    def change_role(self, role: Role, leader: str | None, reason: str) -> None:
        """Set the role and the known leader, and report a change of role, leader or term."""
        if (role, leader, self.hard_state.term) == (self.role, self.leader, self._reported_term):
            return
        self.role = role
        self.leader = leader
        self._reported_term = self.hard_state.term
        change = RoleChange(role=role, term=self.hard_state.term, leader=leader, reason=reason)
        self.role_changes.append(change)

    def append(self, records: tuple[messages.LogEntry, ...]) -> None:
        """Append records to the log and to the pending batch."""
        self.log.append(records)
        self.output_buffer.write_records(records)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Set the newest snapshot and add it to the pending batch."""
        self.snapshot = snapshot
        self.output_buffer.write_snapshot(snapshot)

    def compact_log(self, index: int, replicated_index: int) -> None:
        """Drop records that a snapshot covers, except recent ones that other members may need.

        :param index: last index that the snapshot covers.
        :param replicated_index: index up to which all members that respond have the records.
        """
        configuration, log = self.configuration, self.log
        first = log.find_compaction_index(
            index, configuration.trailing_records, configuration.trailing_bytes
        )
        first_needed = log.find_compaction_index(
            index, index - replicated_index, configuration.catch_up_bytes
        )
        log.compact(min(first, first_needed))

    def take_committed(self) -> tuple[messages.LogEntry, ...]:
        """Return the committed records that were not returned before.

        Records that are not yet synced on this member are left for a later call, so that a
        snapshot never covers unsynced records.
        """
        last = min(self.commit_index, self.output_buffer.durable_index)
        if last <= self.delivered_index:
            return ()
        records = self.log.read(self.delivered_index + 1, last)
        self.delivered_index = last
        return records

    def _schedule_first_election(self) -> None:
        """Schedule the first election; the time since the start counts for the least timeout.

        All members may have restarted at the same time, so there may be no leader to wait for.
        """
        least, greatest = self.configuration.election_timeout_s
        earliest = max(self.now, self.leader_contact_at + least)
        self.election_at = earliest + self._random.uniform(0, greatest - least)

    def _make_send(self, recipient: str, body: messages.Body) -> Send | None:
        address = self.find_address(recipient)
        return None if address is None else Send(recipient, address, body)
