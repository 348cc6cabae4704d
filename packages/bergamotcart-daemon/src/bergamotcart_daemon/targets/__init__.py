"""Connections to targets: executions, probes and orders."""

from bergamotcart_daemon.targets._admin import TargetAdmin
from bergamotcart_daemon.targets._driver import (
    ConnectError,
    ExecutionRun,
    ReportedError,
    TargetDriver,
    TargetLink,
)
from bergamotcart_daemon.targets._orders import OrderRunner
from bergamotcart_daemon.targets._service import Targets, TargetSettings

__all__ = (
    'ConnectError',
    'ExecutionRun',
    'OrderRunner',
    'ReportedError',
    'TargetAdmin',
    'TargetDriver',
    'TargetLink',
    'TargetSettings',
    'Targets',
)
