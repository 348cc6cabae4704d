"""Requests of operators to the control engine, apart from the server that receives them."""

from bergamotcart_daemon.operators._gateway import REPLY_TIMEOUT_S, OperatorGateway

__all__ = ('REPLY_TIMEOUT_S', 'OperatorGateway')
