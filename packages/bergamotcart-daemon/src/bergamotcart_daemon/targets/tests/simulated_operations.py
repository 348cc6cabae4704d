"""Operations of simulated callers, with the statements of each."""

import enum
import random
from dataclasses import dataclass
from typing import Final

from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.statements import Statement

# Shares of the operations. What is not an order or a view is a report.
_ORDER_SHARE: Final = 0.15
_VIEW_SHARE: Final = 0.15
_ORDER_WRITE_SHARE: Final = 0.35
_ORDER_TRANSACTION_SHARE: Final = 0.4
_REPORT_WRITE_SHARE: Final = 0.12


@enum.unique
class OperationKind(enum.Enum):
    """Kinds of operations; only the primary can run an order."""

    order = enum.auto()
    view = enum.auto()
    report = enum.auto()


@dataclass(frozen=True)
class Operation:
    """One operation.

    :param statements: statements with their texts, whose numbers are milliseconds of work.
    """

    kind: OperationKind
    database: str
    statements: tuple[tuple[Statement, str], ...]


def choose_operation(rng: random.Random) -> Operation:
    """Choose an operation at random."""
    share = rng.random()
    if share < _ORDER_SHARE:
        return _choose_order(rng)
    if share < _ORDER_SHARE + _VIEW_SHARE:
        return Operation(OperationKind.view, 'aged', ((routed.READ, 'READ 30'),))
    is_write = rng.random() < _REPORT_WRITE_SHARE
    statement = (routed.WRITE, 'WRITE 18') if is_write else (routed.READ, 'READ 18')
    return Operation(OperationKind.report, 'own', (statement,))


def _choose_order(rng: random.Random) -> Operation:
    read = (routed.READ, 'READ 6')
    statement = (routed.WRITE, 'WRITE 6') if rng.random() < _ORDER_WRITE_SHARE else read
    statements = (statement,)
    if rng.random() < _ORDER_TRANSACTION_SHARE:
        end = (routed.COMMIT, 'COMMIT')
        statements = ((routed.BEGIN, 'BEGIN'), read, read, statement, end)
    return Operation(OperationKind.order, 'strict', statements)
