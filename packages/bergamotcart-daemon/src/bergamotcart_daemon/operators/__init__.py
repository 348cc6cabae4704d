"""The operators' interface of control members."""

from bergamotcart_daemon.operators._api import OperatorApi
from bergamotcart_daemon.operators._gateway import OperatorGateway

__all__ = ('OperatorApi', 'OperatorGateway')
