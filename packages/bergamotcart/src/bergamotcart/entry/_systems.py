"""The systems that serve requests."""

from dataclasses import dataclass

from bergamotcart.entry._reads import ReadSystem
from bergamotcart.entry._routed_reads import RoutedReads
from bergamotcart.entry._tokens import TokenSystem
from bergamotcart.entry._transactions import TransactionSystem
from bergamotcart.entry._writes import WriteSystem


@dataclass(frozen=True, slots=True)
class Systems:
    """One system per kind of request."""

    reads: ReadSystem
    writes: WriteSystem
    transactions: TransactionSystem
    tokens: TokenSystem
    routed_reads: RoutedReads
