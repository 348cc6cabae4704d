"""JSON log lines of the daemon."""

from bergamotcart_daemon.logs._logs import DecisionLog, configure_logging

__all__ = ('DecisionLog', 'configure_logging')
