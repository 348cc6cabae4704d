"""Tests of merged batches of durable changes."""

import random

from bergamotcart import messages
from bergamotcart.consensus import Snapshot, WriteBatch, merge_batches
from bergamotcart.consensus.tests._oracle import Disk


class _BatchSource:
    """Draws batches as a member makes them: records, truncations and snapshots."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._base_index = 0
        self._last_index = 0
        self._count = 0

    def draw(self) -> WriteBatch:
        """Return the next batch."""
        self._count += 1
        snapshot, truncate_from = None, None
        if self._random.random() < 1 / 4:
            snapshot, truncate_from = self._draw_snapshot()
        elif self._random.random() < 1 / 4 and self._last_index > self._base_index:
            truncate_from = self._random.randint(self._base_index + 1, self._last_index)
            self._last_index = truncate_from - 1
        first = self._last_index + 1
        self._last_index += self._random.randrange(4)
        return WriteBatch(
            batch_id=self._count,
            snapshot=snapshot,
            truncate_from=truncate_from,
            records=tuple(
                messages.LogEntry(index=index, term=self._count)
                for index in range(first, self._last_index + 1)
            ),
        )

    def _draw_snapshot(self) -> tuple[Snapshot, int | None]:
        index = self._random.randint(self._base_index, self._last_index + 2)
        is_installed = index > self._last_index
        self._base_index = index
        self._last_index = max(index, self._last_index)
        snapshot = Snapshot(last_index=index, last_term=1, members=(), state=b'')
        return snapshot, 1 if is_installed else None


def test_merged_batches_store_the_same_state():
    """A merged batch must lose no record and bring back none that was deleted."""
    for seed in range(300):
        source = _BatchSource(seed)
        batches = [source.draw() for _ in range(10)]
        one_by_one, merged = Disk('folder'), Disk('folder')
        one_by_one.pending = batches.copy()
        middle = seed % 8 + 1
        merged.pending = [merge_batches(batches[:middle]), merge_batches(batches[middle:])]
        for disk in (one_by_one, merged):
            while disk.pending:
                last_id = disk.sync()
            assert last_id == batches[-1].batch_id
        assert merged.state == one_by_one.state
