"""Connections to targets, which processes of both roles open."""

from bergamotcart_daemon.connections._connections import (
    ConnectError,
    ReportedError,
    TargetConnection,
)

__all__ = ('ConnectError', 'ReportedError', 'TargetConnection')
