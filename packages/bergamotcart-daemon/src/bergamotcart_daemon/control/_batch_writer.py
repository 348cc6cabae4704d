"""Service that writes the control engine's batches of durable state to disk."""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from mode import Service

from bergamotcart.consensus import merge_batches
from bergamotcart.control._events import BatchPersisted, StorageFull, WriteBatch
from bergamotcart_daemon.storage import StorageFullError

# Seconds until a batch is written again that found the disk full.
RETRY_INTERVAL_S: Final = 0.5
_MIN_LOG_INTERVAL_S: Final = 10.0

_logger = logging.getLogger(__name__)


class BatchWriter(Service):
    """Writes batches in order in one thread, off the event loop.

    Batches that arrive during a write are merged. So a snapshot, which frees room, does not wait
    for earlier records that find the disk full.

    :param write: writes and syncs a batch; blocks.
    :param submit: called with a notification of each synced batch, and of each attempt to write
        to a full disk.
    """

    def __init__(
        self,
        write: Callable[[WriteBatch], None],
        submit: Callable[[BatchPersisted | StorageFull], None],
    ) -> None:
        """Store the parameters; the thread starts with the first batch."""
        super().__init__()
        self._write = write
        self._submit = submit
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix='storage')
        self._waiting: list[WriteBatch] = []
        self._is_writing = False
        self._is_full = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self._next_log_at = 0.0

    async def on_start(self) -> None:
        """Register callbacks that wait for a write in progress when the service stops."""
        self.exit_stack.callback(self._executor.shutdown)
        self.exit_stack.callback(self._cancel_retry)

    def write(self, batch: WriteBatch) -> None:
        """Queue a batch to be written after all earlier ones."""
        self._waiting.append(batch)
        # A snapshot frees room, so it ends the wait for the next attempt.
        is_waiting_to_retry = self._retry_timer is not None and batch.snapshot is None
        if not (self._is_writing or is_waiting_to_retry):
            self._write_waiting()

    def _write_waiting(self) -> None:
        self._cancel_retry()
        self._is_writing = True
        merged = merge_batches(self._waiting)
        self._waiting.clear()
        write_future = asyncio.get_running_loop().run_in_executor(
            self._executor, self._write, merged
        )
        write_future.add_done_callback(lambda finished: self._on_written(merged, finished))

    def _on_written(self, batch: WriteBatch, finished: asyncio.Future[None]) -> None:
        error = finished.exception()
        if error is None:
            self._is_writing = False
            self._report_recovery()
            self._submit(BatchPersisted(batch.batch_id))
            if self._waiting and not self.should_stop:
                self._write_waiting()
        elif isinstance(error, StorageFullError):
            self._is_writing = False
            self._waiting.insert(0, batch)
            self._retry_later(error)
        else:
            # A member that cannot write must stop, so that it never acknowledges unwritten state.
            # It keeps the batches that wait, as none may be written without this one.
            self.add_future(self.crash(error))

    def _report_recovery(self) -> None:
        if self._is_full:
            self._is_full = False
            _logger.info('the disk has room again; the batches that waited for it are written')

    def _retry_later(self, error: StorageFullError) -> None:
        if self.should_stop:
            return
        self._is_full = True
        loop = asyncio.get_running_loop()
        if loop.time() >= self._next_log_at:
            self._next_log_at = loop.time() + _MIN_LOG_INTERVAL_S
            _logger.warning(
                '%s; no change is confirmed until the batch can be written, trying each %.1f s',
                error,
                RETRY_INTERVAL_S,
            )
        self._retry_timer = loop.call_later(RETRY_INTERVAL_S, self._write_waiting)
        self._submit(StorageFull())

    def _cancel_retry(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
