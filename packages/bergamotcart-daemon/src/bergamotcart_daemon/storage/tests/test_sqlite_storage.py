"""Tests that durable state is not lost, mixed with other state or used by two processes."""

import contextlib
import resource
import sqlite3
import subprocess
import sys

import pytest

from bergamotcart.consensus import HardState, Snapshot, WriteBatch
from bergamotcart.messages import LogEntry, LogMember
from bergamotcart_daemon.storage import SqliteStorage, StorageError, StorageFullError

_MEMBER = LogMember(name='a', incarnation='i1', address='h:1', availability_zone='z', voter=True)


class _StorageOpener:
    """Opens the storage of a data folder, after closing its previous instance."""

    def __init__(self, path) -> None:
        self.path = path
        self._storage = None

    def __call__(self, domain: str = 'default') -> SqliteStorage:
        self.close()
        self._storage = SqliteStorage(self.path, domain)
        return self._storage

    def close(self) -> None:
        if self._storage:
            self._storage.close()


@pytest.fixture
def open_storage(tmp_path):
    """Function that opens the storage of a new folder; closed after the test."""
    opener = _StorageOpener(tmp_path / 'new' / 'data')
    yield opener
    opener.close()


def _build_records(
    first: int, last: int, term: int = 1, command: bytes = b'x'
) -> tuple[LogEntry, ...]:
    return tuple(LogEntry(index=index, term=term, command=command) for index in range(first, last))


def test_empty_folder_keeps_its_incarnation(open_storage):
    """With a new incarnation, a member would lose its vote at each restart."""
    hard_state = open_storage().load().hard_state
    assert hard_state.incarnation
    assert open_storage().load().hard_state == hard_state


def test_batches_are_loaded_after_reopening(open_storage):
    """Hard state, snapshot, truncation and records must be applied in that order."""
    storage = open_storage()
    incarnation = storage.load().hard_state.incarnation
    membership = LogEntry(index=1, term=1, members=(_MEMBER,))
    storage.write(WriteBatch(batch_id=1, records=(membership, *_build_records(2, 9))))
    hard_state = HardState(incarnation=incarnation, term=2, voted_for='a/i1')
    snapshot = Snapshot(last_index=3, last_term=1, members=(_MEMBER,), state=b'state')
    renewed = _build_records(6, 8, term=2)
    storage.write(
        WriteBatch(
            batch_id=2, hard_state=hard_state, snapshot=snapshot, truncate_from=6, records=renewed
        ),
    )
    state = open_storage().load()
    assert (state.hard_state, state.snapshot) == (hard_state, snapshot)
    assert state.records == (*_build_records(4, 6), *renewed)


def test_failed_batch_is_rolled_back(open_storage):
    """A vote stored without the records of its batch could acknowledge lost records."""
    storage = open_storage()
    before = storage.load()
    hard_state = HardState(incarnation=before.hard_state.incarnation, term=9)
    duplicates = (*_build_records(1, 2), *_build_records(1, 2))
    with pytest.raises(StorageError):
        storage.write(WriteBatch(batch_id=1, hard_state=hard_state, records=duplicates))
    assert storage.load() == before


def test_other_domain_is_refused(open_storage):
    """A folder of another control domain holds terms and members of another log."""
    open_storage('north')
    with pytest.raises(StorageError, match="domain 'north', not 'south'"):
        open_storage('south')


def test_other_format_version_is_refused(open_storage):
    """A newer format must not be misread."""
    open_storage().close()
    connection = sqlite3.connect(open_storage.path / 'control.sqlite3', isolation_level=None)
    connection.execute('PRAGMA user_version = 7')
    connection.close()
    with pytest.raises(StorageError, match='format version 7, expected 1'):
        open_storage()


def test_damaged_file_is_refused(open_storage):
    """A damaged file must not be taken for an empty folder."""
    open_storage.path.mkdir(parents=True)
    (open_storage.path / 'control.sqlite3').write_bytes(b'damaged' * 1000)
    with pytest.raises(StorageError, match='not a database'):
        open_storage()


def test_second_process_is_refused(open_storage):
    """Two processes with one incarnation could vote twice."""
    open_storage().load()
    script = (
        'import sys, pathlib; from bergamotcart_daemon.storage import SqliteStorage; '
        'SqliteStorage(pathlib.Path(sys.argv[1]), "default")'
    )
    second = subprocess.run(
        [sys.executable, '-c', script, open_storage.path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert 'is in use by another process' in second.stderr


def test_full_disk_is_reported(open_storage):
    """The error must name the full disk, not the failure of the subsequent rollback."""
    storage = open_storage()
    with _simulate_full_disk(), pytest.raises(StorageError, match='disk'):
        storage.write(WriteBatch(batch_id=1, hard_state=HardState(incarnation='i1', term=2)))
    storage.write(WriteBatch(batch_id=2, hard_state=HardState(incarnation='i1', term=3)))
    assert storage.load().hard_state.term == 3


def test_compaction_needs_no_more_room_than_the_snapshot(open_storage):
    """Deleting the records of a nearly full disk failed for ever, as all of them were copied."""
    storage = open_storage()
    storage.write(WriteBatch(batch_id=1, records=_build_records(1, 100, command=b'x' * 50_000)))
    before = _measure_folder(open_storage.path)
    storage.write(WriteBatch(batch_id=2, snapshot=_build_snapshot(99)))
    assert _measure_folder(open_storage.path) - before < 2 * len(_build_snapshot(99).state)


def test_compaction_succeeds_on_a_file_that_cannot_grow(open_storage):
    """Otherwise no change would be accepted any more, as only a compaction frees room."""
    storage = open_storage()
    storage.write(WriteBatch(batch_id=1, snapshot=_build_snapshot(0)))
    storage._execute('PRAGMA max_page_count = 500')
    with pytest.raises(StorageFullError, match='full'):
        for index in range(1, 500):
            records = _build_records(index, index + 1, command=b'x' * 50_000)
            storage.write(WriteBatch(batch_id=index, records=records))
    last = storage.load().records[-1].index
    storage.write(WriteBatch(batch_id=501, snapshot=_build_snapshot(last)))
    storage.write(WriteBatch(batch_id=502, records=records))
    assert storage.load().records == records


def _build_snapshot(index: int) -> Snapshot:
    """Return a snapshot that grows with the index."""
    return Snapshot(
        last_index=index, last_term=1, members=(_MEMBER,), state=b'y' * (10_000 + 5000 * index)
    )


def _measure_folder(folder) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


@contextlib.contextmanager
def _simulate_full_disk():
    """Limit the file size of this process, so that writes fail."""
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    with contextlib.ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_FSIZE, limits)
        resource.setrlimit(resource.RLIMIT_FSIZE, (1, limits[1]))
        yield
