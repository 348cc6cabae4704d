"""HTTP interface of control members for operators."""

from bergamotcart_daemon.operators._api import OperatorApi
from bergamotcart_daemon.operators._gateway import OperatorGateway

__all__ = ('OperatorApi', 'OperatorGateway')
