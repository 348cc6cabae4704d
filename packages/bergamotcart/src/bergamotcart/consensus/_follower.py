"""Handling of appends and snapshots from a leader."""

import msgspec

from bergamotcart import messages
from bergamotcart.consensus._configuration import Role
from bergamotcart.consensus._durable_state import Snapshot
from bergamotcart.consensus._member_state import MemberState


class Follower:
    """Replicates the leader's log; a change is acknowledged once it is synced."""

    __slots__ = ('_contact_confirmed_at', '_state', '_transfer_key', '_received_state')

    def __init__(self, state: MemberState) -> None:
        """Initialize without a partial snapshot.

        :param state: state of this member.
        """
        self._contact_confirmed_at = float('-inf')
        self._state = state
        self._transfer_key: tuple[int, int] | None = None
        self._received_state = bytearray()

    def on_append_request(self, envelope: messages.Envelope) -> None:
        """Store the records that follow the log, or reply with the index after which to retry."""
        request = envelope.body
        if not self._accept_leader(envelope.sender, request.term):
            self._reply_to_append(envelope, success=False, index=0)
            return
        if self._state.is_disk_stalled:
            # The leader sends again what is not answered, so the queue of batches stays bounded.
            return
        retry_index = self._find_retry_index(request)
        if retry_index is not None:
            self._reply_to_append(envelope, success=False, index=retry_index)
            return
        self._store_records(request.records)
        state = self._state
        match_index = request.previous_index + len(request.records)
        match_index = max(match_index, state.log.base_index)
        state.commit_index = max(state.commit_index, min(request.commit_index, match_index))
        self._reply_to_append(envelope, success=True, index=match_index)

    def on_snapshot_request(self, envelope: messages.Envelope) -> None:
        """Collect the chunks of a snapshot, and install it once it is complete."""
        request, state = envelope.body, self._state
        if not self._accept_leader(envelope.sender, request.term):
            self._reply_to_snapshot(envelope, received=0, installed=False)
            return
        if request.last_index <= state.commit_index:
            self._reply_to_snapshot(envelope, received=request.total_bytes, installed=True)
            return
        self._append_chunk(request)
        received = len(self._received_state)
        complete = received == request.total_bytes
        if complete:
            self._install_snapshot(request)
        self._reply_to_snapshot(envelope, received=received, installed=complete)

    def _accept_leader(self, sender: str, term: int) -> bool:
        state = self._state
        if term < state.hard_state.term or (
            term == state.hard_state.term and state.role == Role.leader
        ):
            return False
        if term > state.hard_state.term:
            state.write_hard_state(term, None)
        state.change_role(Role.follower, sender, 'append or snapshot from the leader')
        state.leader_contact_at = state.now
        state.restart_election_timer()
        return True

    def _find_retry_index(self, request: messages.AppendRequest) -> int | None:
        """Return the index after which the leader should retry, or ``None`` if the logs match."""
        log = self._state.log
        previous = request.previous_index
        if previous < log.base_index:
            # Compacted records are committed, and every later leader holds all committed records.
            return None
        term = log.term_at(previous)
        if term == request.previous_term:
            return None
        if term is None:
            return log.last_index
        while previous > self._state.commit_index and log.term_at(previous) == term:
            previous -= 1
        return previous

    def _store_records(self, records: tuple[messages.LogEntry, ...]) -> None:
        state = self._state
        for position, entry in enumerate(records):
            known_term = state.log.term_at(entry.index)
            if entry.index <= state.log.base_index or known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate_log(entry.index)
            state.append(records[position:])
            return

    def _truncate_log(self, first: int) -> None:
        state = self._state
        if first <= state.commit_index:
            raise ValueError(
                f'record {first} of the leader conflicts with the log,'
                f' which is committed up to record {state.commit_index}'
            )
        state.log.truncate(first)
        state.output_buffer.write_truncation(first)

    def _append_chunk(self, request: messages.SnapshotRequest) -> None:
        key = (request.term, request.last_index)
        if self._transfer_key != key:
            self._transfer_key = key
            self._received_state.clear()
        if request.offset == len(self._received_state):
            self._received_state.extend(request.state)

    def _install_snapshot(self, request: messages.SnapshotRequest) -> None:
        state = self._state
        snapshot = Snapshot(
            last_index=request.last_index,
            last_term=request.last_term,
            members=request.members,
            state=bytes(self._received_state),
        )
        if state.log.term_at(request.last_index) == request.last_term:
            state.log.compact(request.last_index)
        else:
            state.log.reset(request.last_index, request.last_term, request.members)
            state.output_buffer.write_truncation(1)
        state.save_snapshot(snapshot)
        state.commit_index = request.last_index
        state.delivered_index = request.last_index
        state.snapshot_to_load = snapshot
        self._transfer_key = None
        self._received_state.clear()

    def _reply_to_append(self, envelope: messages.Envelope, *, success: bool, index: int) -> None:
        response = messages.AppendResponse(
            term=self._state.hard_state.term,
            success=success,
            match_index=index,
            echo_sent_at=envelope.body.sent_at,
        )
        if not success or index <= self._state.output_buffer.durable_index:
            self._contact_confirmed_at = self._state.now
            self._state.reply(envelope, response)
            return
        self._state.reply_when_synced(envelope, response)
        self._confirm_contact(envelope, response)

    def _confirm_contact(
        self, envelope: messages.Envelope, response: messages.AppendResponse
    ) -> None:
        """Acknowledge the records that are synced, if the leader waits for a sign of this member.

        Without it, a leader would lose its quorum while the disks of its followers are slow. Contact
        needs no sync: a member that restarts counts its start as contact.
        """
        state = self._state
        due_at = self._contact_confirmed_at + state.configuration.leader_heartbeat_interval_s
        if state.output_buffer.is_synced or state.now < due_at:
            return
        self._contact_confirmed_at = state.now
        synced = msgspec.structs.replace(response, match_index=state.output_buffer.durable_index)
        state.reply(envelope, synced)

    def _reply_to_snapshot(
        self,
        envelope: messages.Envelope,
        *,
        received: int,
        installed: bool,
    ) -> None:
        response = messages.SnapshotResponse(
            term=self._state.hard_state.term,
            last_index=envelope.body.last_index,
            received_bytes=received,
            installed=installed,
            echo_sent_at=envelope.body.sent_at,
        )
        self._state.reply_when_synced(envelope, response)
