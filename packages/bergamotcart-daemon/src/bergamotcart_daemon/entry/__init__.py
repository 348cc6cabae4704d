"""Process of the entry role."""

from bergamotcart_daemon.entry._adapters import CallerFrontend, EntryAdapters
from bergamotcart_daemon.entry._daemon import EntryDaemon

__all__ = ('CallerFrontend', 'EntryAdapters', 'EntryDaemon')
