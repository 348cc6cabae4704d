"""Enforces the limits on the memory and the time of connections."""

from bergamotcart_daemon.resources._connection_budget import BudgetMember, ConnectionBudget
from bergamotcart_daemon.resources._guard import ResourceGuard
from bergamotcart_daemon.resources._listening import limit_kernel_buffers
from bergamotcart_daemon.resources._timeouts import Timeouts

__all__ = (
    'BudgetMember',
    'ConnectionBudget',
    'ResourceGuard',
    'Timeouts',
    'limit_kernel_buffers',
)
