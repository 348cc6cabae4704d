"""One member of the replicated log, driven by its caller."""

from bergamotcart import messages
from bergamotcart.consensus._configuration import ConsensusConfiguration, ConsensusOutputs, Role
from bergamotcart.consensus._contacts import MemberContact, list_contacts
from bergamotcart.consensus._durable_state import DurableState, Snapshot
from bergamotcart.consensus._election import Election
from bergamotcart.consensus._follower import Follower
from bergamotcart.consensus._join_protocol import JoinProtocol
from bergamotcart.consensus._leadership import Leadership
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import Members
from bergamotcart.consensus._membership_planner import MembershipPlanner

# A record and its envelope must fit into one message, which is limited to 1 MiB.
MAX_COMMAND_BYTES = 768 * 1024


class ConsensusNode:
    """One member of the replicated log; call ``take_outputs`` after each input."""

    __slots__ = (
        '_state',
        '_election',
        '_follower',
        '_handlers',
        '_join_protocol',
        '_leadership',
        '_membership_planner',
    )

    def __init__(
        self, now: float, configuration: ConsensusConfiguration, durable: DurableState
    ) -> None:
        """Resume from the durable state; its snapshot, if any, is the first output.

        :param now: current time in seconds, monotonic.
        :param configuration: configuration of the node.
        :param durable: content of the data folder.
        """
        self._state = MemberState(now, configuration, durable)
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._join_protocol = JoinProtocol(self._state)
        self._leadership: Leadership | None = None
        self._membership_planner: MembershipPlanner | None = None
        if configuration.tolerated_losses is not None:
            self._membership_planner = MembershipPlanner(
                self._state, self._join_protocol, configuration.tolerated_losses
            )
        self._handlers = {
            messages.PreVoteRequest: self._election.on_pre_vote_request,
            messages.PreVoteResponse: self._election.on_pre_vote_response,
            messages.VoteRequest: self._election.on_vote_request,
            messages.VoteResponse: self._election.on_vote_response,
            messages.AppendRequest: self._follower.on_append_request,
            messages.SnapshotRequest: self._follower.on_snapshot_request,
            messages.JoinRequest: self._join_protocol.on_join_request,
            messages.JoinResponse: self._join_protocol.on_join_response,
        }

    @property
    def role(self) -> Role:
        """Role in the current term."""
        return self._state.role

    @property
    def leader(self) -> str | None:
        """Name of the leader that this member knows, or ``None``."""
        return self._state.leader

    @property
    def leader_address(self) -> str:
        """Inter-process address of the known leader; empty if it is unknown."""
        return self._state.find_address(self._state.leader or '') or ''

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.hard_state.term

    @property
    def incarnation(self) -> str:
        """Random identity of the data folder; sent as the incarnation in all messages."""
        return self._state.hard_state.incarnation

    @property
    def commit_index(self) -> int:
        """Index of the newest record known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Index of the newest record in the log."""
        return self._state.log.last_index

    @property
    def members(self) -> Members:
        """Membership in force; empty before the group is formed."""
        return self._state.members

    @property
    def is_voter(self) -> bool:
        """Whether this member has a vote."""
        return self._state.is_voter

    @property
    def contacts(self) -> tuple[MemberContact, ...]:
        """What this member has last received from each member, or initial member if unformed."""
        return list_contacts(self._state, self._election.answers)

    @property
    def may_form_group(self) -> bool:
        """Whether this member may be a candidate that forms a group."""
        return self._state.may_form_group

    @property
    def newcomers(self) -> Members:
        """Processes outside the membership that ask this leader for admission."""
        return self._join_protocol.newcomers if self._leadership else ()

    @property
    def next_tick(self) -> float:
        """Time in seconds at which ``tick`` is due if no input arrives before."""
        if self._leadership:
            return self._leadership.heartbeat_at
        return min(self._state.election_at, self._join_protocol.join_request_at)

    def has_quorum(self, now: float) -> bool:
        """Whether this member leads and a majority of voters answered it recently.

        :param now: current time in seconds.
        :returns: whether it may serve reads and grant leases.
        """
        return self._leadership is not None and self._leadership.has_quorum(now)

    def receive(self, now: float, envelope: messages.Envelope) -> None:
        """Process a message; ignore one that is not for the log or not for this member.

        :param now: current time in seconds.
        :param envelope: the message, of this control domain.
        """
        self._state.now = now
        name = self._state.configuration.name
        if envelope.recipient != name or envelope.sender == name:
            return
        handler = self._find_handler(envelope.body)
        if handler:
            self._state.record_sender(envelope)
            handler(envelope)
            self._update_leadership()

    def tick(self, now: float) -> None:
        """Send heartbeats, join requests or pre-vote requests that are due.

        :param now: current time in seconds.
        """
        state = self._state
        state.now = now
        if self._leadership:
            self._leadership.tick()
        else:
            self._run_timers()
        self._update_leadership()

    def propose(self, now: float, command: bytes) -> int | None:
        """Append a command to the log, as leader.

        :param now: current time in seconds.
        :param command: encoded command, not empty.
        :returns: index of its record, which may be lost until it is committed; ``None`` if this
            member does not lead.
        :raises ValueError: if the command does not fit into a message.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(f'command of {len(command)} bytes exceeds {MAX_COMMAND_BYTES} bytes')
        self._state.now = now
        if self._leadership is None:
            return None
        return self._leadership.propose(command)

    def propose_members(self, now: float, members: Members) -> int | None:
        """Propose a complete membership, as leader.

        At most one voter may be added or removed at a time, and a new voter must have
        caught up as a non-voter. A majority of the new voters must respond, and all of them
        if the leader gives up its vote. The leader stays a member: to remove it, call
        ``resign`` on it first.

        :param now: current time in seconds.
        :param members: all members.
        :returns: index of the record; ``None`` if this member does not lead, the change is
            not allowed, or the previous change is not yet committed.
        """
        self._state.now = now
        if self._leadership is None:
            return None
        return self._leadership.propose_members(members)

    def find_readmission(self, now: float) -> Members | None:
        """Return the next membership towards giving a member a vote, for the caller to propose.

        A newcomer first replaces the silent member of its name as a non-voter. A non-voter
        that has caught up becomes a voter. With ``tolerated_losses``, newcomers of other names
        are admitted as well, and replace voters that do not respond or that are in the same
        availability zone. Addresses and zones are corrected as the members report them.

        :param now: current time in seconds.
        :returns: argument for ``propose_members``, or ``None``.
        """
        self._state.now = now
        if self._leadership is None:
            return None
        if self._membership_planner is not None:
            return self._membership_planner.find_next_membership(self._leadership)
        return self._join_protocol.find_readmission(self._leadership)

    def change_contact_points(self, contact_points: dict[str, str]) -> None:
        """Replace the members that this member asks for admission.

        :param contact_points: inter-process addresses by name.
        """
        self._state.change_contact_points(contact_points)

    def resign(self, now: float) -> None:
        """Step down as leader, and delay the own candidacy so that another member is elected.

        :param now: current time in seconds.
        """
        state = self._state
        state.now = now
        if self._leadership:
            state.change_role(Role.follower, None, 'resigned')
            self._update_leadership()
            state.election_at = now + 2 * state.configuration.election_timeout_s[1]

    def persisted(self, now: float, batch_id: int) -> None:
        """Record that a batch and all earlier ones are synced.

        :param now: current time in seconds.
        :param batch_id: identifier of the batch.
        """
        self._state.now = now
        self._state.output_buffer.mark_synced(now, batch_id)
        if self._leadership:
            self._leadership.advance_commit()
        self._update_leadership()

    def take_snapshot(self, state: bytes) -> int | None:
        """Replace the records that ``take_outputs`` returned as committed by a snapshot.

        :param state: encoded state after applying all of them.
        :returns: last index that the snapshot covers, or ``None`` if there is no newer record.
        """
        member_state = self._state
        index = member_state.delivered_index
        if member_state.snapshot_to_load or (
            member_state.snapshot and index <= member_state.snapshot.last_index
        ):
            return None
        term = member_state.log.term_at(index)
        if index == 0 or term is None:
            return None
        snapshot = Snapshot(
            last_index=index,
            last_term=term,
            members=member_state.log.members_at(index),
            state=state,
        )
        member_state.save_snapshot(snapshot)
        replicated_index = self._leadership.find_replicated_index() if self._leadership else index
        member_state.compact_log(index, min(replicated_index, index))
        return index

    def take_outputs(self) -> ConsensusOutputs:
        """Remove and return the pending outputs.

        :returns: messages, batches, a snapshot to load, committed records and role changes.
        """
        state = self._state
        if self._leadership:
            self._leadership.send_new_records()
        snapshot = state.snapshot_to_load
        state.snapshot_to_load = None
        role_changes = tuple(state.role_changes)
        state.role_changes.clear()
        return ConsensusOutputs(
            batches=state.output_buffer.take_batches(state.now, state.log.last_index),
            sends=state.output_buffer.take_sends(),
            snapshot=snapshot,
            committed=state.take_committed(),
            role_changes=role_changes,
        )

    def _find_handler(self, body: messages.Body):
        if self._leadership:
            if isinstance(body, messages.AppendResponse):
                return self._leadership.on_append_response
            if isinstance(body, messages.SnapshotResponse):
                return self._leadership.on_snapshot_response
            if self._leadership.has_quorum(self._state.now):
                self._state.leader_contact_at = self._state.now
        return self._handlers.get(type(body))

    def _run_timers(self) -> None:
        state = self._state
        if state.now >= self._join_protocol.join_request_at:
            self._join_protocol.send_join_requests()
        if state.now >= state.election_at:
            self._election.start_pre_vote()

    def _update_leadership(self) -> None:
        """Stop leading after a change of role, or start leading after a won election."""
        state = self._state
        if self._leadership and state.role != Role.leader:
            self._leadership = None
            # Only contact with another leader is a reason to refuse a vote to the next leader.
            state.leader_contact_at = float('-inf')
        members = self._election.finish_won_election()
        if members is not None:
            state.change_role(Role.leader, state.configuration.name, 'elected')
            self._leadership = Leadership(state, members)
