"""Sending of orders from control members to targets."""

from bergamotcart_daemon.orders._admin import TargetAdmin
from bergamotcart_daemon.orders._http import HttpTargetAdmin
from bergamotcart_daemon.orders._runner import OrderRunner

__all__ = ('HttpTargetAdmin', 'OrderRunner', 'TargetAdmin')
