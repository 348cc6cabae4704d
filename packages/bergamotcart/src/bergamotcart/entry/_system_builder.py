"""Builds the systems that serve requests."""

from dataclasses import dataclass

from bergamotcart.entry._confirmations import Confirmations
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._floors import FloorKeeper
from bergamotcart.entry._lanes import Lanes
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._outcome_checks import OutcomeChecks
from bergamotcart.entry._primary import PrimaryGate
from bergamotcart.entry._reads import ReadSystem
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_reads import RoutedReads
from bergamotcart.entry._systems import Systems
from bergamotcart.entry._tokens import TokenSystem
from bergamotcart.entry._transactions import TransactionSystem
from bergamotcart.entry._workspace import Workspace
from bergamotcart.entry._writes import WriteSystem


@dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What the systems are built from."""

    work: Workspace
    lanes: Lanes
    monitor: TargetMonitor
    gate: PrimaryGate
    executions: Executions
    floors: FloorKeeper
    confirmations: Confirmations
    retries: Retries
    replies: Replies


def build_systems(parts: Parts) -> Systems:
    """Build one system per kind of request."""
    transactions = _build_transactions(parts)
    return Systems(
        reads=ReadSystem(
            parts.work,
            parts.lanes,
            parts.monitor,
            parts.gate,
            parts.executions,
            parts.floors,
            parts.retries,
            parts.replies,
        ),
        writes=WriteSystem(
            parts.gate,
            parts.executions,
            parts.confirmations,
            parts.replies,
            parts.retries,
        ),
        transactions=transactions,
        tokens=TokenSystem(parts.work, parts.floors, parts.replies),
        routed_reads=RoutedReads(
            parts.work,
            parts.lanes,
            parts.monitor,
            parts.gate,
            parts.executions,
            transactions,
            parts.retries,
            parts.replies,
        ),
    )


def _build_transactions(parts: Parts) -> TransactionSystem:
    checks = OutcomeChecks(
        parts.gate,
        parts.executions,
        parts.confirmations,
        parts.replies,
        parts.retries,
    )
    return TransactionSystem(
        parts.work,
        parts.gate,
        parts.executions,
        parts.confirmations,
        checks,
        parts.replies,
        parts.retries,
    )
