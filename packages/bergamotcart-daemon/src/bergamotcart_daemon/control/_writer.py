"""Service that writes batches of the control engine to disk."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mode import Service

from bergamotcart.control._events import Persist, Persisted


class BatchWriter(Service):
    """Writes batches in order in one thread, off the event loop.

    :param write: writes and syncs a batch; blocks.
    :param submit: is told of each synced batch.
    """

    def __init__(
        self,
        write: Callable[[Persist], None],
        submit: Callable[[Persisted], None],
    ) -> None:
        """Keep the parameters; the thread starts with the first batch."""
        super().__init__()
        self._write = write
        self._submit = submit
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix='storage')

    async def on_start(self) -> None:
        """Let the last batch end before the process exits."""
        self.exit_stack.callback(self._executor.shutdown)

    def write(self, batch: Persist) -> None:
        """Write a batch after all earlier ones."""
        work = asyncio.get_running_loop().run_in_executor(self._executor, self._write, batch)
        work.add_done_callback(lambda done: self._note_written(batch, done))

    def _note_written(self, batch: Persist, done: asyncio.Future[None]) -> None:
        error = done.exception()
        if error is None:
            self._submit(Persisted(batch.batch_id))
        else:
            # A member that cannot write must not answer for anything it did not write.
            self.add_future(self.crash(error))
