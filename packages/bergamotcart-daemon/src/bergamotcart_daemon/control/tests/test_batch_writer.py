"""Tests that a disk that refuses writes loses no batch and acknowledges none too early."""

import asyncio
import contextlib
import threading

import pytest

from bergamotcart.control import BatchPersisted, Snapshot, StorageFull, WriteBatch
from bergamotcart.messages import LogEntry
from bergamotcart_daemon.control import _batch_writer
from bergamotcart_daemon.storage import StorageError, StorageFullError


class _Storage:
    """Storage that fails with an error while there is one."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error
        self.attempts = 0
        self.may_finish = threading.Event()
        self.may_finish.set()
        self.written: list[WriteBatch] = []

    def write(self, batch: WriteBatch) -> None:
        """Store a batch, or fail."""
        error = self.error
        self.attempts += 1
        self.may_finish.wait()
        if error:
            raise error
        self.written.append(batch)


@contextlib.asynccontextmanager
async def _start_writer(storage: _Storage, submitted: list[object]):
    writer = _batch_writer.BatchWriter(storage.write, submitted.append)
    await writer.start()
    try:
        yield writer
    finally:
        await writer.stop()


def _make_batch(batch_id: int, snapshot: Snapshot | None = None) -> WriteBatch:
    records = (LogEntry(index=batch_id, term=1, command=b'x'),)
    return WriteBatch(batch_id=batch_id, snapshot=snapshot, records=records)


@pytest.fixture(autouse=True)
def _retry_soon(monkeypatch):
    monkeypatch.setattr(_batch_writer, 'RETRY_INTERVAL_S', 0.01)


async def _wait_for(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_full_disk_ends_no_process():
    """All members with a full disk ended again and again, and accepted no change any more."""
    storage, submitted = _Storage(StorageFullError('full')), []
    async with _start_writer(storage, submitted) as writer:
        for batch_id in (1, 2, 3):
            writer.write(_make_batch(batch_id))
        await _wait_for(lambda: storage.attempts > 3)
        assert set(map(type, submitted)) == {StorageFull}
        storage.error = None
        await _wait_for(lambda: BatchPersisted(3) in submitted)
        assert not writer.crashed
    indexes = [entry.index for batch in storage.written for entry in batch.records]
    assert indexes == [1, 2, 3]


async def test_snapshot_during_failing_write_is_not_written_alone():
    """The log would have a gap where the batch that found the disk full is missing."""
    storage, submitted = _Storage(StorageFullError('full')), []
    storage.may_finish.clear()
    async with _start_writer(storage, submitted) as writer:
        writer.write(_make_batch(1))
        await _wait_for(lambda: storage.attempts == 1)
        storage.may_finish.set()
        await _wait_for(lambda: submitted)
        storage.may_finish.clear()
        await _wait_for(lambda: storage.attempts == 2)
        writer.write(_make_batch(2, Snapshot(last_index=0, last_term=1, members=(), state=b'')))
        storage.may_finish.set()
        await _wait_for(lambda: storage.attempts > 2)
        storage.error = None
        await _wait_for(lambda: BatchPersisted(2) in submitted)
    assert [entry.index for batch in storage.written for entry in batch.records] == [1, 2]


async def test_other_storage_error_ends_process():
    """What a failed sync has left on the disk is not known, so nothing more may be written."""
    storage, submitted = _Storage(StorageError('failed')), []
    async with _start_writer(storage, submitted) as writer:
        writer.write(_make_batch(1))
        writer.write(_make_batch(2))
        await _wait_for(lambda: writer.crashed)
        storage.error = None
        writer.write(_make_batch(3))
    assert not (storage.written or submitted)
