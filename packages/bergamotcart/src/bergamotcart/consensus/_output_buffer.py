"""Batches to persist, and messages that depend on them."""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._durable_state import HardState, Snapshot, WriteBatch

_NEVER_S: Final = float('inf')


class OutputBuffer:
    """Collects durable changes into batches and holds the messages that depend on them.

    ``durable_index`` is the index of the newest synced record of the current log, and
    ``synced_batch`` the identifier of the newest synced batch.
    """

    __slots__ = (
        '_batches',
        '_hard_state',
        '_waiting_sends',
        '_next_batch',
        '_records',
        '_sends',
        '_snapshot',
        '_truncate_from',
        '_last_sync_s',
        '_unsynced_batches',
        '_unsynced_since',
        'durable_index',
        'synced_batch',
    )

    def __init__(self, durable_index: int) -> None:
        """Initialize without pending changes.

        :param durable_index: last index of the loaded log.
        """
        self.durable_index = durable_index
        self._batches: list[WriteBatch] = []
        self._waiting_sends: list[tuple[int, Send]] = []
        self._sends: list[Send] = []
        self._next_batch = 1
        self.synced_batch = 0
        # Last log index after each batch that is not yet synced, by batch identifier.
        self._unsynced_batches: dict[int, int] = {}
        self._unsynced_since = _NEVER_S
        self._last_sync_s = 0.0
        self._hard_state: HardState | None = None
        self._snapshot: Snapshot | None = None
        self._truncate_from: int | None = None
        self._records: list[messages.LogEntry] = []

    @property
    def newest_batch(self) -> int:
        """Identifier of the batch whose sync completes all changes made so far."""
        return self._next_batch if self._has_changes else self._next_batch - 1

    @property
    def is_synced(self) -> bool:
        """Whether all changes made so far are synced."""
        return self.newest_batch <= self.synced_batch

    def send(self, message: Send) -> None:
        """Queue a message that does not depend on durable state."""
        self._sends.append(message)

    def send_when_synced(self, message: Send) -> None:
        """Queue a message, to be released once all changes made so far are synced."""
        if self.is_synced:
            self._sends.append(message)
        else:
            self._waiting_sends.append((self.newest_batch, message))

    def write_hard_state(self, hard_state: HardState) -> None:
        """Add a new hard state to the pending batch."""
        self._hard_state = hard_state

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Add a new snapshot to the pending batch."""
        self._snapshot = snapshot

    def write_records(self, records: tuple[messages.LogEntry, ...]) -> None:
        """Add appended log records to the pending batch."""
        self._records.extend(records)

    def write_truncation(self, first: int) -> None:
        """Add the deletion of the log from ``first`` on to the pending batch."""
        self._records = [entry for entry in self._records if entry.index < first]
        pending = self._truncate_from
        self._truncate_from = first if pending is None else min(first, pending)
        self.durable_index = min(self.durable_index, first - 1)
        for batch_id, last_index in self._unsynced_batches.items():
            self._unsynced_batches[batch_id] = min(last_index, first - 1)

    def is_stalled(self, since: float) -> bool:
        """Whether there are unsynced batches and none was synced since a time in seconds."""
        return self._unsynced_since < since

    def estimate_sync_s(self, now: float) -> float:
        """Return the seconds that a sync takes, from the newest one and from the one in progress.

        :param now: current time in seconds.
        """
        return max(self._last_sync_s, now - self._unsynced_since)

    def mark_synced(self, now: float, batch_id: int) -> None:
        """Release the messages that depend on a batch or an earlier one.

        :param now: current time in seconds.
        :param batch_id: identifier of the synced batch; all earlier batches are synced too.
        """
        self.synced_batch = max(self.synced_batch, batch_id)
        synced_ids = [known_id for known_id in self._unsynced_batches if known_id <= batch_id]
        for synced_id in synced_ids:
            self.durable_index = max(self.durable_index, self._unsynced_batches.pop(synced_id))
        if synced_ids:
            self._last_sync_s = now - self._unsynced_since
        self._unsynced_since = now if self._unsynced_batches else _NEVER_S
        ready = [
            message for required_batch, message in self._waiting_sends if required_batch <= batch_id
        ]
        self._waiting_sends = [waiting for waiting in self._waiting_sends if waiting[0] > batch_id]
        self._sends.extend(ready)

    def take_sends(self) -> tuple[Send, ...]:
        """Remove and return the messages that may be sent now."""
        sends = tuple(self._sends)
        self._sends.clear()
        return sends

    def take_batches(self, now: float, last_index: int) -> tuple[WriteBatch, ...]:
        """Close the pending batch and return it, or nothing if it is empty.

        :param now: current time in seconds.
        :param last_index: last index of the log.
        """
        if not self._has_changes:
            return ()
        batch = WriteBatch(
            batch_id=self._next_batch,
            hard_state=self._hard_state,
            snapshot=self._snapshot,
            truncate_from=self._truncate_from,
            records=tuple(self._records),
        )
        self._unsynced_batches[batch.batch_id] = last_index
        self._unsynced_since = min(self._unsynced_since, now)
        self._next_batch += 1
        self._hard_state = None
        self._snapshot = None
        self._truncate_from = None
        self._records = []
        return (batch,)

    @property
    def _has_changes(self) -> bool:
        changed = self._hard_state or self._snapshot or self._records
        return bool(changed) or self._truncate_from is not None
