"""State of a process, as its health endpoint reports it."""

from bergamotcart_daemon.health._health import Health

__all__ = ('Health',)
