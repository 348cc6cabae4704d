"""Interface of the storage of the durable consensus state."""

import abc

from bergamotcart.consensus import DurableState, WriteBatch


class StorageError(OSError):
    """The data folder cannot be used; the message names the path and the cause."""


class StorageFullError(StorageError):
    """The disk has no room for a batch. Nothing of it is stored, so it may be written again."""


class StateStorage(abc.ABC):
    """Storage of durable state; one process owns it from creation to ``close``.

    The methods block and must not run concurrently; call them in a thread.
    """

    @abc.abstractmethod
    def load(self) -> DurableState:
        """Read the whole state; a new storage is first given a random incarnation.

        :returns: the state.
        :raises StorageError: if the stored state cannot be read.
        """

    @abc.abstractmethod
    def write(self, batch: WriteBatch) -> None:
        """Write and sync a batch atomically: after a crash, all of it is stored or none.

        :param batch: next batch; batches are written in the order of their identifiers.
        :raises StorageFullError: if the disk has no room for it.
        :raises StorageError: if it could not be written; the process must then stop.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release the storage, so that another process can open it."""
