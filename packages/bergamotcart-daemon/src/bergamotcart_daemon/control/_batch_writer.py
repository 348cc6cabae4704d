"""Service that writes the control engine's batches of durable state to disk."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mode import Service

from bergamotcart.control._events import BatchPersisted, WriteBatch


class BatchWriter(Service):
    """Writes batches in order in one thread, off the event loop.

    :param write: writes and syncs a batch; blocks.
    :param submit: called with a notification of each synced batch.
    """

    def __init__(
        self,
        write: Callable[[WriteBatch], None],
        submit: Callable[[BatchPersisted], None],
    ) -> None:
        """Store the parameters; the thread starts with the first batch."""
        super().__init__()
        self._write = write
        self._submit = submit
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix='storage')

    async def on_start(self) -> None:
        """Register a callback that waits for queued batches when the service stops."""
        self.exit_stack.callback(self._executor.shutdown)

    def write(self, batch: WriteBatch) -> None:
        """Queue a batch to be written after all earlier ones."""
        write_future = asyncio.get_running_loop().run_in_executor(
            self._executor, self._write, batch
        )
        write_future.add_done_callback(lambda finished: self._on_written(batch, finished))

    def _on_written(self, batch: WriteBatch, finished: asyncio.Future[None]) -> None:
        error = finished.exception()
        if error is None:
            self._submit(BatchPersisted(batch.batch_id))
        else:
            # A member that cannot write must stop, so that it never acknowledges unwritten state.
            self.add_future(self.crash(error))
