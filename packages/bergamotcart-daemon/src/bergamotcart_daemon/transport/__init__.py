"""Messages between processes over ``pynng``."""

from bergamotcart_daemon.transport._identity import Identity
from bergamotcart_daemon.transport._transport import Transport

__all__ = ('Identity', 'Transport')
