"""Connections to targets: executions, probes and orders."""

from bergamotcart_daemon.targets._admin import HttpTargetAdmin, TargetAdmin
from bergamotcart_daemon.targets._dialect import PositionDialect, ReplicationPositionDialect
from bergamotcart_daemon.targets._orders import OrderRunner
from bergamotcart_daemon.targets._service import Targets, TargetSettings

__all__ = (
    'HttpTargetAdmin',
    'OrderRunner',
    'PositionDialect',
    'ReplicationPositionDialect',
    'TargetAdmin',
    'TargetSettings',
    'Targets',
)
