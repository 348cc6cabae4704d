"""Connections to targets: executions and probes."""

from bergamotcart_daemon.targets._interfaces import (
    ConnectError,
    ExecutionRun,
    ReportedError,
    TargetDriver,
    TargetLink,
)
from bergamotcart_daemon.targets._targets import Targets, TargetSettings

__all__ = (
    'ConnectError',
    'ExecutionRun',
    'ReportedError',
    'TargetDriver',
    'TargetLink',
    'TargetSettings',
    'Targets',
)
