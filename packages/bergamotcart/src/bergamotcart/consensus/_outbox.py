"""Batches to persist, and messages that wait for them."""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._durable import HardState, Persist, Snapshot

_NEVER_S: Final = float('inf')


class Outbox:
    """Collects durable changes into batches and holds the messages that depend on them.

    ``durable_index`` is the newest record of the current log that is synced, and
    ``synced_batch`` the newest batch that is.
    """

    __slots__ = (
        '_batches',
        '_hard',
        '_held',
        '_next_batch',
        '_records',
        '_sends',
        '_snapshot',
        '_truncate_from',
        '_unsynced',
        '_unsynced_since',
        'durable_index',
        'synced_batch',
    )

    def __init__(self, durable_index: int) -> None:
        """Start with everything synced.

        :param durable_index: last index of the loaded log.
        """
        self.durable_index = durable_index
        self._batches: list[Persist] = []
        self._held: list[tuple[int, Send]] = []
        self._sends: list[Send] = []
        self._next_batch = 1
        self.synced_batch = 0
        # Last index of the log after each batch that is not yet synced, by batch.
        self._unsynced: dict[int, int] = {}
        self._unsynced_since = _NEVER_S
        self._hard: HardState | None = None
        self._snapshot: Snapshot | None = None
        self._truncate_from: int | None = None
        self._records: list[messages.LogEntry] = []

    @property
    def barrier(self) -> int:
        """Batch after which everything decided so far is synced."""
        return self._next_batch if self._dirty else self._next_batch - 1

    def send(self, message: Send) -> None:
        """Queue a message that promises nothing about durable state."""
        self._sends.append(message)

    def send_when_synced(self, message: Send) -> None:
        """Queue a message that leaves once everything decided so far is synced."""
        barrier = self.barrier
        if barrier <= self.synced_batch:
            self._sends.append(message)
        else:
            self._held.append((barrier, message))

    def write_hard(self, hard: HardState) -> None:
        """Record a new hard state."""
        self._hard = hard

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Record a new snapshot."""
        self._snapshot = snapshot

    def write_records(self, records: tuple[messages.LogEntry, ...]) -> None:
        """Record appended log records."""
        self._records.extend(records)

    def write_truncation(self, first: int) -> None:
        """Record that the log is deleted from ``first`` on."""
        self._records = [entry for entry in self._records if entry.index < first]
        pending = self._truncate_from
        self._truncate_from = first if pending is None else min(first, pending)
        self.durable_index = min(self.durable_index, first - 1)
        for batch_id, last_index in self._unsynced.items():
            self._unsynced[batch_id] = min(last_index, first - 1)

    def is_stalled(self, since: float) -> bool:
        """Whether batches wait and none was synced since a time in seconds."""
        return self._unsynced_since < since

    def persisted(self, now: float, batch_id: int) -> None:
        """Release the messages that waited for a batch or an earlier one."""
        self.synced_batch = max(self.synced_batch, batch_id)
        synced = [number for number in self._unsynced if number <= batch_id]
        for unsynced in synced:
            self.durable_index = max(self.durable_index, self._unsynced.pop(unsynced))
        self._unsynced_since = now if self._unsynced else _NEVER_S
        ready = [message for barrier, message in self._held if barrier <= batch_id]
        self._held = [held for held in self._held if held[0] > batch_id]
        self._sends.extend(ready)

    def take_sends(self) -> tuple[Send, ...]:
        """Remove and return the messages that may leave now."""
        sends = tuple(self._sends)
        self._sends.clear()
        return sends

    def take_batches(self, now: float, last_index: int) -> tuple[Persist, ...]:
        """Close the current batch, if it holds anything, and return it.

        :param now: current time in seconds.
        :param last_index: last index of the log.
        """
        if not self._dirty:
            return ()
        batch = Persist(
            batch_id=self._next_batch,
            hard=self._hard,
            snapshot=self._snapshot,
            truncate_from=self._truncate_from,
            records=tuple(self._records),
        )
        self._unsynced[batch.batch_id] = last_index
        self._unsynced_since = min(self._unsynced_since, now)
        self._next_batch += 1
        self._hard = None
        self._snapshot = None
        self._truncate_from = None
        self._records = []
        return (batch,)

    @property
    def _dirty(self) -> bool:
        changed = self._hard or self._snapshot or self._records
        return bool(changed) or self._truncate_from is not None
