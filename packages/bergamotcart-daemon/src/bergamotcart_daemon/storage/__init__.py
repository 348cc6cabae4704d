"""Storage of the durable consensus state in the data folder."""

from bergamotcart_daemon.storage._base import StateStorage, StorageError, StorageFullError
from bergamotcart_daemon.storage._sqlite import FORMAT_VERSION, SqliteStorage

__all__ = ('FORMAT_VERSION', 'SqliteStorage', 'StateStorage', 'StorageError', 'StorageFullError')
