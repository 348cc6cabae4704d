"""Control member process."""

from bergamotcart_daemon.control._adapters import ControlAdapters
from bergamotcart_daemon.control._daemon import ControlDaemon

__all__ = ('ControlAdapters', 'ControlDaemon')
