"""HTTP interface of control members for operators."""

from bergamotcart_daemon.operator_api._api import OperatorApi

__all__ = ('OperatorApi',)
