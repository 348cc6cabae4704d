"""Disks of a simulated cluster, and the oracle that checks its members."""

from dataclasses import dataclass, field

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus import DurableState, HardState, WriteBatch


class Disk:
    """Durable state, and written batches that are not yet synced."""

    def __init__(self, incarnation: str) -> None:
        """Create an empty data folder."""
        self.state = DurableState(
            hard_state=HardState(incarnation=incarnation), snapshot=None, records=()
        )
        self.pending: list[WriteBatch] = []

    @property
    def last_index(self) -> int:
        """Index of the newest synced record."""
        records, snapshot = self.state.records, self.state.snapshot
        if records:
            return records[-1].index
        return snapshot.last_index if snapshot else 0

    def holds(self, entry: messages.LogEntry) -> bool:
        """Whether a record is synced, as a record or as part of a snapshot."""
        snapshot = self.state.snapshot
        in_snapshot = snapshot is not None and entry.index <= snapshot.last_index
        return in_snapshot or entry in self.state.records

    def sync(self) -> int | None:
        """Apply the oldest pending batch and return its identifier, or ``None`` without one."""
        if not self.pending:
            return None
        batch = self.pending.pop(0)
        snapshot = batch.snapshot or self.state.snapshot
        records = [
            entry
            for entry in self.state.records
            if batch.truncate_from is None or entry.index < batch.truncate_from
        ]
        base = snapshot.last_index if snapshot else 0
        stored = [entry for entry in (*records, *batch.records) if entry.index > base]
        for index, entry in enumerate(stored, start=base + 1):
            assert entry.index == index, (
                f'stored record {entry.index} follows a gap; expected {index}'
            )
        self.state = DurableState(
            hard_state=batch.hard_state or self.state.hard_state,
            snapshot=snapshot,
            records=tuple(stored),
        )
        return batch.batch_id


@dataclass
class Oracle:
    """Checks the invariants over all members during the whole run."""

    leaders: dict[int, str] = field(default_factory=dict)
    committed: list[messages.LogEntry] = field(default_factory=list)

    def record_leader(self, term: int, member: str) -> None:
        """Record a leader, and check that its term has no other leader."""
        known = self.leaders.setdefault(term, member)
        assert known == member, f'two leaders in term {term}: {known} and {member}'

    def record_committed(self, entry: messages.LogEntry) -> None:
        """Record a committed record, and check that every member commits the same at its index."""
        assert entry.index <= len(self.committed) + 1, f'gap before index {entry.index}'
        if entry.index == len(self.committed) + 1:
            self.committed.append(entry)
        known = self.committed[entry.index - 1]
        assert known == entry, f'committed record {entry.index} changed: {known} to {entry}'

    def encode_state(self, index: int) -> bytes:
        """Return the encoded state after applying the committed records up to an index."""
        return b','.join(entry.command for entry in self.committed[:index])


def check_response_is_synced(disk: Disk, send: Send) -> None:
    """Check that a vote or an acknowledgement is sent only after it is synced."""
    body, hard_state = send.body, disk.state.hard_state
    if isinstance(body, messages.VoteResponse) and body.granted and hard_state.term <= body.term:
        candidate = f'{send.recipient}/{body.candidate_incarnation}'
        assert (hard_state.term, hard_state.voted_for) == (body.term, candidate), (
            'vote is not synced'
        )
    if isinstance(body, messages.AppendResponse) and body.success and hard_state.term <= body.term:
        assert disk.last_index >= body.match_index, 'acknowledged records are not synced'
