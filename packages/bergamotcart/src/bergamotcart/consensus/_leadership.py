"""Duties of a leader: replication, commit, check-quorum and membership changes."""

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._core import Core
from bergamotcart.consensus._membership import (
    Members,
    check_change,
    identity,
    is_majority,
    member_id,
    voter_ids,
)
from bergamotcart.consensus._progress import Progress


class Leadership:
    """One term as leader; a new object is made for each term won."""

    __slots__ = ('_core', '_first_index', '_heartbeat_at', '_peers', '_started_at')

    def __init__(self, core: Core, members: Members) -> None:
        """Start leading: append the first record of the term, and send heartbeats.

        :param core: state of this member.
        :param members: membership; recorded in the first record if the log has none.
        """
        self._core = core
        self._peers: dict[str, Progress] = {}
        self._started_at = core.now
        self._first_index = core.log.last_index + 1
        self._append(members=None if core.is_formed else members)
        self.send_heartbeats()

    @property
    def heartbeat_at(self) -> float:
        """Time of the next heartbeat, in seconds."""
        return self._heartbeat_at

    def has_quorum(self, now: float) -> bool:
        """Whether a majority of voters answered an append sent within the lease time.

        The window is also shorter than the time for which a voter that answered grants no
        vote to other members, so no other leader can be elected while this holds.

        :param now: current time in seconds.
        :returns: whether this leader may serve reads and grant leases.
        """
        answered = self._answered_since(now - self._quorum_window_s)
        return is_majority(answered, self._core.voters)

    def tick(self) -> None:
        """Step down if there is a reason to, otherwise send heartbeats when they are due."""
        core = self._core
        reason = self._find_reason_to_step_down()
        if reason:
            core.change_role(Role.follower, None, reason)
            core.restart_election_timer()
        elif core.now >= self._heartbeat_at:
            self.send_heartbeats()

    def propose(self, command: bytes) -> int:
        """Append a command.

        :param command: encoded command.
        :returns: the index of its record.
        """
        return self._append(command=command)

    def propose_members(self, members: Members) -> int | None:
        """Append a membership record, if the previous change and this term are committed.

        A leader does not remove itself: if the record reached no other member, the others could
        not be elected because their logs are shorter, nor could this member without a vote.

        :param members: complete new membership.
        :returns: the index of the record, or ``None`` if it is refused.
        """
        core = self._core
        is_previous_committed = core.commit_index >= max(self._first_index, core.log.members_index)
        if not is_previous_committed or check_change(core.members, members):
            return None
        keeps_leader = core.my_id in voter_ids(members)
        if not (keeps_leader and self._can_commit(members)):
            return None
        if any(not self._may_have_vote(member) for member in members):
            return None
        return self._append(members=members)

    def is_caught_up(self, member: messages.LogMember) -> bool:
        """Whether a member answered within the quorum window and holds all committed records."""
        peer = self._peers.get(member_id(member))
        if peer is None:
            return False
        has_answered = peer.answered_sent_at >= self._core.now - self._quorum_window_s
        return has_answered and peer.match_index >= self._core.commit_index

    def has_recent_answer(self, member: messages.LogMember) -> bool:
        """Whether a member answered an append sent within the greatest election timeout."""
        peer = self._peers.get(member_id(member))
        since = self._core.now - self._core.configuration.election_timeout_s[1]
        return peer is not None and peer.answered_sent_at >= since

    def seconds_since_answer(self, member: messages.LogMember) -> float:
        """Return the seconds since a member answered; 0 for this member itself."""
        peer = self._peers.get(member_id(member))
        if peer is None:
            return 0
        return self._core.now - max(peer.answered_sent_at, self._started_at)

    def send_heartbeats(self) -> None:
        """Send an append to every other member."""
        self._heartbeat_at = self._core.now + self._core.configuration.leader_heartbeat_interval_s
        for peer in self._peers.values():
            self._send_append(peer)

    def send_new_records(self) -> None:
        """Send each member the records that were not sent to it yet."""
        for peer in self._peers.values():
            if not peer.probing and peer.next_index <= self._core.log.last_index:
                self._send_append(peer)

    def on_append_response(self, envelope: messages.Envelope) -> None:
        """Update the progress of a member, and retry after a rejected append."""
        response = envelope.body
        peer = self._find_peer(envelope, response.term)
        if peer is None:
            return
        peer.record_answer(response.echo_sent_at)
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
        peer.record_answer(response.echo_sent_at)
        if response.installed:
            peer.record_match(response.last_index)
            peer.snapshot_index = 0
            self.advance_commit()
        elif response.last_index == peer.snapshot_index:
            has_progressed = response.received_bytes > peer.snapshot_offset
            peer.snapshot_offset = response.received_bytes
            if has_progressed:
                self._send_append(peer)

    def advance_commit(self) -> None:
        """Advance the commit index to the newest record of this term synced by a majority."""
        core = self._core
        voters = core.voters
        matches = {key: peer.match_index for key, peer in self._peers.items()}
        matches[core.my_id] = core.output_buffer.durable_index
        match_indexes = sorted(matches.get(voter, 0) for voter in voters)
        index = match_indexes[(len(voters) - 1) // 2]
        if index > core.commit_index and core.log.term_at(index) == core.hard_state.term:
            core.commit_index = index

    @property
    def _quorum_window_s(self) -> float:
        configuration = self._core.configuration
        vote_refusal_s = configuration.election_timeout_s[0] * (1 - configuration.drift_margin)
        return min(configuration.check_quorum_window_s, vote_refusal_s)

    def _append(self, command: bytes = b'', members: Members | None = None) -> int:
        core = self._core
        entry = messages.LogEntry(
            index=core.log.last_index + 1,
            term=core.hard_state.term,
            command=command,
            members=members,
        )
        core.append((entry,))
        if members is not None or not self._peers:
            self._update_peers()
        return entry.index

    def _update_peers(self) -> None:
        core = self._core
        self._peers = {
            member_id(member): self._peers.get(member_id(member))
            or Progress(name=member.name, next_index=core.log.last_index)
            for member in core.members
            if member_id(member) != core.my_id
        }

    def _may_have_vote(self, member: messages.LogMember) -> bool:
        is_new = member.voter and member_id(member) not in self._core.voters
        return not is_new or self.is_caught_up(member)

    def _find_reason_to_step_down(self) -> str | None:
        """Return why this member must stop leading, or ``None``."""
        core = self._core
        timeout_s = core.configuration.election_timeout_s[1]
        since = core.now - timeout_s
        has_quorum = is_majority(self._answered_since(since), core.voters)
        if self._started_at < since and not has_quorum:
            return 'no majority answers'
        if core.output_buffer.is_stalled(since - timeout_s):
            # The others would follow a leader that cannot apply the records that they commit.
            return 'own disk does not answer'
        return None

    def _can_commit(self, members: Members) -> bool:
        """Whether a majority of the new voters answers; else the change could not be committed."""
        answered = self._answered_since(self._core.now - self._quorum_window_s)
        return is_majority(answered, voter_ids(members))

    def _answered_since(self, since: float) -> list[str]:
        answered = [key for key, peer in self._peers.items() if peer.answered_sent_at >= since]
        return [*answered, self._core.my_id]

    def _find_peer(self, envelope: messages.Envelope, term: int) -> Progress | None:
        peer = self._peers.get(identity(envelope.sender, envelope.incarnation))
        if peer and term > self._core.hard_state.term:
            self._core.enter_term(term, 'answer of a newer term')
            return None
        return peer if term == self._core.hard_state.term else None

    def _send_append(self, peer: Progress) -> None:
        core = self._core
        previous = peer.next_index - 1
        previous_term = core.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(peer)
            return
        records = core.log.read_chunk(peer.next_index, core.configuration.part_bytes)
        if not peer.probing:
            peer.next_index += len(records)
        request = messages.AppendRequest(
            term=core.hard_state.term,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=core.commit_index,
            sent_at=core.now,
            records=records,
        )
        core.send(peer.name, request)

    def _send_snapshot(self, peer: Progress) -> None:
        core = self._core
        snapshot = core.snapshot
        if snapshot is None:
            return
        if peer.snapshot_index != snapshot.last_index:
            peer.snapshot_index = snapshot.last_index
            peer.snapshot_offset = 0
        end = peer.snapshot_offset + core.configuration.part_bytes
        request = messages.SnapshotRequest(
            term=core.hard_state.term,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            members=snapshot.members,
            state=snapshot.state[peer.snapshot_offset : end],
            offset=peer.snapshot_offset,
            total_bytes=len(snapshot.state),
            sent_at=core.now,
        )
        core.send(peer.name, request)
