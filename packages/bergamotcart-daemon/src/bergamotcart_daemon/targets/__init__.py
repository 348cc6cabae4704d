"""Connections to targets: executions and probes."""

from bergamotcart_daemon.targets._interfaces import ExecutionRun, TargetDriver
from bergamotcart_daemon.targets._targets import Targets, TargetSettings

__all__ = ('ExecutionRun', 'TargetDriver', 'TargetSettings', 'Targets')
