"""What a follower does with appends and snapshots of a leader."""

from bergamotcart import messages
from bergamotcart.consensus._config import Role
from bergamotcart.consensus._core import Core
from bergamotcart.consensus._durable import Snapshot


class Following:
    """Takes over the leader's log; every answer waits until its content is synced."""

    __slots__ = ('_core', '_part_key', '_parts')

    def __init__(self, core: Core) -> None:
        """Start without a partial snapshot.

        :param core: state of this member.
        """
        self._core = core
        self._part_key: tuple[int, int] | None = None
        self._parts = bytearray()

    def on_append_request(self, envelope: messages.Envelope) -> None:
        """Store the records that fit, or say where to try next."""
        request = envelope.body
        if not self._accept_leader(envelope.sender, request.term):
            self._answer_append(envelope, success=False, index=0)
            return
        hint = self._find_mismatch(request)
        if hint is not None:
            self._answer_append(envelope, success=False, index=hint)
            return
        self._store(request.records)
        core = self._core
        match_index = request.previous_index + len(request.records)
        match_index = max(match_index, core.log.base_index)
        core.commit_index = max(core.commit_index, min(request.commit_index, match_index))
        self._answer_append(envelope, success=True, index=match_index)

    def on_snapshot_request(self, envelope: messages.Envelope) -> None:
        """Collect the parts of a snapshot, and install it once it is complete."""
        request, core = envelope.body, self._core
        if not self._accept_leader(envelope.sender, request.term):
            self._answer_snapshot(envelope, received=0, installed=False)
            return
        if request.last_index <= core.commit_index:
            self._answer_snapshot(envelope, received=request.total_bytes, installed=True)
            return
        self._collect(request)
        received = len(self._parts)
        complete = received == request.total_bytes
        if complete:
            self._install(request)
        self._answer_snapshot(envelope, received=received, installed=complete)

    def _accept_leader(self, sender: str, term: int) -> bool:
        core = self._core
        if term < core.hard.term or (term == core.hard.term and core.role == Role.leader):
            return False
        if term > core.hard.term:
            core.write_hard(term, None)
        core.change_role(Role.follower, sender, 'append of the leader')
        core.heard_at = core.now
        core.restart_election_timer()
        return True

    def _find_mismatch(self, request: messages.AppendRequest) -> int | None:
        """Index after which the leader shall try next, if its previous record is not here."""
        log = self._core.log
        previous = request.previous_index
        if previous < log.base_index:
            # Compacted records are committed, and each later leader holds all of those.
            return None
        term = log.term_at(previous)
        if term == request.previous_term:
            return None
        if term is None:
            return log.last_index
        while previous > self._core.commit_index and log.term_at(previous) == term:
            previous -= 1
        return previous

    def _store(self, records: tuple[messages.LogEntry, ...]) -> None:
        core = self._core
        for position, entry in enumerate(records):
            known_term = core.log.term_at(entry.index)
            if entry.index <= core.log.base_index or known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate(entry.index)
            core.append(records[position:])
            return

    def _truncate(self, first: int) -> None:
        core = self._core
        if first <= core.commit_index:
            raise ValueError(f'committed record {first} conflicts with the leader')
        core.log.truncate(first)
        core.outbox.write_truncation(first)

    def _collect(self, request: messages.SnapshotRequest) -> None:
        key = (request.term, request.last_index)
        if self._part_key != key:
            self._part_key = key
            self._parts.clear()
        if request.offset == len(self._parts):
            self._parts.extend(request.state)

    def _install(self, request: messages.SnapshotRequest) -> None:
        core = self._core
        snapshot = Snapshot(
            last_index=request.last_index,
            last_term=request.last_term,
            members=request.members,
            state=bytes(self._parts),
        )
        if core.log.term_at(request.last_index) == request.last_term:
            core.log.compact(request.last_index)
        else:
            core.log.reset(request.last_index, request.last_term, request.members)
            core.outbox.write_truncation(1)
        core.save_snapshot(snapshot)
        core.commit_index = request.last_index
        core.taken_index = request.last_index
        core.snapshot_to_load = snapshot
        self._part_key = None
        self._parts.clear()

    def _answer_append(self, envelope: messages.Envelope, *, success: bool, index: int) -> None:
        response = messages.AppendResponse(
            term=self._core.hard.term,
            success=success,
            match_index=index,
            echo_sent_at=envelope.body.sent_at,
        )
        self._core.reply_when_synced(envelope, response)

    def _answer_snapshot(
        self,
        envelope: messages.Envelope,
        *,
        received: int,
        installed: bool,
    ) -> None:
        response = messages.SnapshotResponse(
            term=self._core.hard.term,
            last_index=envelope.body.last_index,
            received_bytes=received,
            installed=installed,
            echo_sent_at=envelope.body.sent_at,
        )
        self._core.reply_when_synced(envelope, response)
