"""JSON log lines of the daemon."""

from bergamotcart_daemon.logs._logs import DecisionLog, configure_logging
from bergamotcart_daemon.logs._rate_limited_log import RateLimitedLog

__all__ = ('DecisionLog', 'RateLimitedLog', 'configure_logging')
