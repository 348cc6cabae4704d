"""Handlers that serve requests, one per kind."""

import msgspec

from bergamotcart.entry._reads import ReadHandler
from bergamotcart.entry._routed_reads import RoutedReadHandler
from bergamotcart.entry._tokens import TokenHandler
from bergamotcart.entry._transactions import TransactionHandler
from bergamotcart.entry._writes import WriteHandler


class RequestHandlers(msgspec.Struct, frozen=True):
    """One handler per kind of request."""

    reads: ReadHandler
    writes: WriteHandler
    transactions: TransactionHandler
    tokens: TokenHandler
    routed_reads: RoutedReadHandler
