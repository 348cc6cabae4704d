"""What the daemon needs of a store of durable state."""

import abc

from bergamotcart.consensus import DurableState, Persist


class StorageError(Exception):
    """The data folder cannot be used; the message says why and names the folder."""


class StateStorage(abc.ABC):
    """A store of durable state; one process owns it from creation to ``close``.

    The methods block and must not run at the same time; call them in a thread.
    """

    @abc.abstractmethod
    def load(self) -> DurableState:
        """Read the whole state; an empty store first gets a random incarnation.

        :returns: the state.
        :raises StorageError: if the content cannot be used.
        """

    @abc.abstractmethod
    def write(self, batch: Persist) -> None:
        """Write and sync a batch; after a crash either all of it is there or none.

        :param batch: the batch, in the order of its identifiers.
        :raises StorageError: if it could not be written; the process must then stop.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release the store for another process."""
