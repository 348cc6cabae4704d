"""Connections to targets: executions and probes."""

from bergamotcart_daemon.targets._interfaces import (
    ConnectError,
    ExecutionRun,
    ReportedError,
    TargetConnection,
    TargetDriver,
)
from bergamotcart_daemon.targets._targets import Targets, TargetSettings

__all__ = (
    'ConnectError',
    'ExecutionRun',
    'ReportedError',
    'TargetConnection',
    'TargetDriver',
    'TargetSettings',
    'Targets',
)
