"""MySQL server for callers."""

from bergamotcart_daemon.callers._server import CallerServer

__all__ = ('CallerServer',)
