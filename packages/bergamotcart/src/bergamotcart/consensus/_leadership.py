"""Leader of one term: replication, commit, check-quorum and membership changes."""

from bergamotcart import messages
from bergamotcart.consensus._commit_history import CommitHistory
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import (
    Members,
    find_change_violation,
    identity,
    is_majority,
    member_id,
    voter_ids,
)
from bergamotcart.consensus._replication_progress import ReplicationProgress
from bergamotcart.consensus._snapshot_transfer import SnapshotTransfer


class Leadership:
    """One term as leader; a new object is made for each term won."""

    __slots__ = (
        '_state',
        '_commit_history',
        '_first_index',
        '_heartbeat_at',
        '_peers',
        '_started_at',
    )

    def __init__(self, state: MemberState, members: Members) -> None:
        """Start leading: append the first record of the term, and send heartbeats.

        :param state: state of this member.
        :param members: membership; recorded in the first record if the log has none.
        """
        self._state = state
        self._peers: dict[str, ReplicationProgress] = {}
        self._commit_history = CommitHistory(2 * self._quorum_window_s)
        self._started_at = state.now
        self._first_index = state.log.last_index + 1
        self._append(members=None if state.is_formed else members)
        self.send_heartbeats()

    @property
    def heartbeat_at(self) -> float:
        """Time of the next heartbeat, in seconds."""
        return self._heartbeat_at

    def has_quorum(self, now: float) -> bool:
        """Whether a majority of voters responded to an append sent within the check-quorum window.

        The window is at most the lease time, and shorter than the time for which a voter that
        responded grants no vote to other members, so no other leader can be elected while this
        holds.

        :param now: current time in seconds.
        :returns: whether this leader may serve reads and grant leases.
        """
        responding = self._find_responding_since(now - self._quorum_window_s)
        return is_majority(responding, self._state.voters)

    def tick(self) -> None:
        """Step down if there is a reason to, otherwise send heartbeats when they are due."""
        state = self._state
        reason = self._find_reason_to_step_down()
        if reason:
            state.change_role(Role.follower, None, reason)
            state.restart_election_timer()
        elif state.now >= self._heartbeat_at:
            self.send_heartbeats()

    def propose(self, command: bytes) -> int:
        """Append a command.

        :param command: encoded command.
        :returns: the index of its record.
        """
        return self._append(command=command)

    def propose_members(self, members: Members) -> int | None:
        """Append a membership record, if the previous change and this term are committed.

        A leader does not remove itself. It may give up its vote and continue to lead while all
        other voters respond: if the record then reaches none of them, they can elect one of them
        without this member, which grants no vote to a shorter log.

        :param members: complete new membership.
        :returns: the index of the record, or ``None`` if it is refused.
        """
        state = self._state
        is_previous_committed = state.commit_index >= max(
            self._first_index, state.log.members_index
        )
        if not is_previous_committed or find_change_violation(state.members, members):
            return None
        keeps_leader = state.own_id in {member_id(member) for member in members}
        if not (keeps_leader and self._can_commit(members)):
            return None
        if any(not self._may_be_voter(member) for member in members):
            return None
        return self._append(members=members)

    def is_caught_up(self, member: messages.LogMember) -> bool:
        """Whether a member responded within the quorum window and is not behind.

        It may lack what was committed since the newest heartbeat to which it responded: under
        steady writes, a distant member never holds all that the leader has committed. It holds
        the first record of the term, as an earlier commit index of a new leader may be too low.
        """
        if member_id(member) == self._state.own_id:
            return True
        peer = self._peers.get(member_id(member))
        if peer is None or peer.newest_echo_sent_at < self._state.now - self._quorum_window_s:
            return False
        committed = self._commit_history.find_index_at(peer.newest_echo_sent_at)
        if committed is None:
            committed = self._state.commit_index
        return peer.match_index >= max(committed, self._first_index)

    def has_recent_response(self, member: messages.LogMember) -> bool:
        """Whether a member responded to an append sent within the greatest election timeout."""
        if member_id(member) == self._state.own_id:
            return True
        peer = self._peers.get(member_id(member))
        since = self._state.now - self._state.configuration.election_timeout_s[1]
        return peer is not None and peer.newest_echo_sent_at >= since

    def seconds_since_response(self, member: messages.LogMember) -> float:
        """Return the seconds since a member responded; 0 for this member itself."""
        peer = self._peers.get(member_id(member))
        if peer is None:
            return 0
        return self._state.now - max(peer.newest_echo_sent_at, self._started_at)

    def find_replicated_index(self) -> int:
        """Return the index up to which all members that respond have the records."""
        since = self._state.now - self._state.configuration.election_timeout_s[1]
        indexes = [
            peer.replicated_index
            for peer in self._peers.values()
            if peer.newest_echo_sent_at >= since
        ]
        return min(indexes, default=self._state.log.last_index)

    def send_heartbeats(self) -> None:
        """Send an append or a snapshot chunk to every other member."""
        self._commit_history.record_heartbeat(self._state.now, self._state.commit_index)
        self._heartbeat_at = self._state.now + self._state.configuration.leader_heartbeat_interval_s
        for peer in self._peers.values():
            if peer.transfer is None:
                self._send_append(peer)
            else:
                # Asks for the number of bytes that the member has.
                self._send_chunk(peer, peer.transfer.next_offset, 0)

    def send_new_records(self) -> None:
        """Send each member the records and snapshot chunks that were not sent to it yet."""
        for peer in self._peers.values():
            while self._may_send_records(peer):
                self._send_append(peer)
            if peer.transfer is not None:
                self._send_chunks(peer)

    def on_append_response(self, envelope: messages.Envelope) -> None:
        """Update the progress of a member, and retry after a rejected append."""
        response = envelope.body
        peer = self._find_peer(envelope, response.term)
        if peer is None:
            return
        peer.record_response(response.echo_sent_at)
        if response.success:
            peer.record_match(response.match_index)
            self.advance_commit()
        elif peer.record_rejection(response.match_index):
            self._send_append(peer)

    def on_snapshot_response(self, envelope: messages.Envelope) -> None:
        """Continue or end the transfer of a snapshot."""
        response = envelope.body
        peer = self._find_peer(envelope, response.term)
        if peer is None:
            return
        peer.record_response(response.echo_sent_at)
        if response.installed:
            peer.record_match(response.last_index)
            peer.transfer = None
            self.advance_commit()
        elif peer.transfer and response.last_index == peer.transfer.snapshot.last_index:
            peer.transfer.record_response(response.received_bytes, response.echo_sent_at)

    def advance_commit(self) -> None:
        """Advance the commit index to the newest record of this term synced by a majority."""
        state = self._state
        voters = state.voters
        matches = {key: peer.match_index for key, peer in self._peers.items()}
        matches[state.own_id] = state.output_buffer.durable_index
        match_indexes = sorted(matches.get(voter, 0) for voter in voters)
        index = match_indexes[(len(voters) - 1) // 2]
        if index > state.commit_index and state.log.term_at(index) == state.hard_state.term:
            state.commit_index = index

    @property
    def _quorum_window_s(self) -> float:
        configuration = self._state.configuration
        vote_refusal_s = configuration.election_timeout_s[0] * (1 - configuration.drift_margin)
        return min(configuration.check_quorum_window_s, vote_refusal_s)

    def _append(self, command: bytes = b'', members: Members | None = None) -> int:
        state = self._state
        entry = messages.LogEntry(
            index=state.log.last_index + 1,
            term=state.hard_state.term,
            command=command,
            members=members,
        )
        state.append((entry,))
        if members is not None or not self._peers:
            self._update_peers()
        return entry.index

    def _update_peers(self) -> None:
        state = self._state
        self._peers = {
            member_id(member): self._peers.get(member_id(member))
            or ReplicationProgress(name=member.name, next_index=state.log.last_index)
            for member in state.members
            if member_id(member) != state.own_id
        }

    def _may_be_voter(self, member: messages.LogMember) -> bool:
        is_new = member.voter and member_id(member) not in self._state.voters
        return not is_new or self.is_caught_up(member)

    def _find_reason_to_step_down(self) -> str | None:
        """Return why this member must stop leading, or ``None``."""
        state = self._state
        since = state.now - state.configuration.election_timeout_s[1]
        has_quorum = is_majority(self._find_responding_since(since), state.voters)
        if self._started_at < since and not has_quorum:
            return 'no majority of the voters responds'
        if state.is_disk_stalled:
            # The other members would follow a leader that cannot apply the committed records.
            return 'own disk has synced no batch within two election timeouts'
        return None

    def _can_commit(self, members: Members) -> bool:
        """Whether enough of the new voters respond; else the change could not be committed."""
        responding = self._find_responding_since(self._state.now - self._quorum_window_s)
        new_voters = voter_ids(members)
        if self._state.own_id in self._state.voters - new_voters:
            return new_voters.issubset(responding)
        return is_majority(responding, new_voters)

    def _find_responding_since(self, since: float) -> list[str]:
        responding = [key for key, peer in self._peers.items() if peer.newest_echo_sent_at >= since]
        return [*responding, self._state.own_id]

    def _find_peer(self, envelope: messages.Envelope, term: int) -> ReplicationProgress | None:
        peer = self._peers.get(identity(envelope.sender, envelope.incarnation))
        if peer is None:
            self._request_report(envelope)
        if peer and term > self._state.hard_state.term:
            self._state.enter_term(term, 'response of a newer term')
            return None
        return peer if term == self._state.hard_state.term else None

    def _may_send_records(self, peer: ReplicationProgress) -> bool:
        return (
            peer.transfer is None
            and not peer.probing
            and peer.next_index <= self._state.log.last_index
            and peer.in_flight_bytes < self._state.configuration.window_bytes
        )

    def _request_report(self, envelope: messages.Envelope) -> None:
        """Ask for a join request from an incarnation that is not listed but receives appends.

        A former incarnation with its log does not send one by itself, as its log lists it.
        """
        state = self._state
        request = messages.JoinResponse(
            term=state.hard_state.term, incarnation=envelope.incarnation, sent_at=state.now
        )
        state.reply(envelope, request)

    def _send_append(self, peer: ReplicationProgress) -> None:
        state = self._state
        previous = peer.next_index - 1
        previous_term = state.log.term_at(previous)
        if previous_term is None:
            peer.transfer = SnapshotTransfer(state.snapshot)
            return
        records: tuple[messages.LogEntry, ...] = ()
        if self._may_send_records(peer):
            records = state.log.read_chunk(peer.next_index, state.configuration.part_bytes)
            peer.record_sent(records)
        request = messages.AppendRequest(
            term=state.hard_state.term,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=state.commit_index,
            sent_at=state.now,
            records=records,
        )
        state.send(peer.name, request)

    def _send_chunks(self, peer: ReplicationProgress) -> None:
        state = self._state
        if peer.transfer.is_at_start:
            peer.transfer = SnapshotTransfer(state.snapshot)
        configuration = state.configuration
        offsets = peer.transfer.take_offsets(
            state.now, configuration.part_bytes, configuration.window_bytes
        )
        for offset in offsets:
            self._send_chunk(peer, offset, configuration.part_bytes)

    def _send_chunk(self, peer: ReplicationProgress, offset: int, size_bytes: int) -> None:
        state, snapshot = self._state, peer.transfer.snapshot
        request = messages.SnapshotRequest(
            term=state.hard_state.term,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            members=snapshot.members,
            state=snapshot.state[offset : offset + size_bytes],
            offset=offset,
            total_bytes=len(snapshot.state),
            sent_at=state.now,
        )
        state.send(peer.name, request)
