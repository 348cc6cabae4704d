"""Connections to targets: executions and probes."""

from bergamotcart_daemon.targets._driver import (
    ConnectError,
    ExecutionRun,
    ReportedError,
    TargetDriver,
    TargetLink,
)
from bergamotcart_daemon.targets._service import Targets, TargetSettings

__all__ = (
    'ConnectError',
    'ExecutionRun',
    'ReportedError',
    'TargetDriver',
    'TargetLink',
    'TargetSettings',
    'Targets',
)
