"""Sending of orders from control members to targets."""

from bergamotcart_daemon.orders._order_sender import OrderSender
from bergamotcart_daemon.orders._target_admin import TargetAdmin

__all__ = ('OrderSender', 'TargetAdmin')
