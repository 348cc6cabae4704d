"""Construction of the systems that serve requests."""

from dataclasses import dataclass

from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._floors import SessionFloors
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._outcome_checks import CommitOutcomeChecks
from bergamotcart.entry._primary_gate import PrimaryGate
from bergamotcart.entry._reads import ReadSystem
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_reads import RoutedReads
from bergamotcart.entry._systems import Systems
from bergamotcart.entry._target_limits import TargetLimiters
from bergamotcart.entry._tokens import TokenSystem
from bergamotcart.entry._transactions import TransactionSystem
from bergamotcart.entry._writes import WriteSystem


@dataclass(frozen=True, slots=True, kw_only=True)
class SystemDependencies:
    """Components that the systems are built from."""

    context: EngineContext
    limiters: TargetLimiters
    monitor: TargetMonitor
    gate: PrimaryGate
    executions: Executions
    floors: SessionFloors
    acknowledgements: ReplicationAcknowledgements
    retries: Retries
    replies: Replies


def build_systems(dependencies: SystemDependencies) -> Systems:
    """Build one system per kind of request."""
    transactions = _build_transactions(dependencies)
    return Systems(
        reads=ReadSystem(
            dependencies.context,
            dependencies.limiters,
            dependencies.monitor,
            dependencies.gate,
            dependencies.executions,
            dependencies.floors,
            dependencies.retries,
            dependencies.replies,
        ),
        writes=WriteSystem(
            dependencies.gate,
            dependencies.executions,
            dependencies.acknowledgements,
            dependencies.replies,
            dependencies.retries,
        ),
        transactions=transactions,
        tokens=TokenSystem(dependencies.context, dependencies.floors, dependencies.replies),
        routed_reads=RoutedReads(
            dependencies.context,
            dependencies.limiters,
            dependencies.monitor,
            dependencies.gate,
            dependencies.executions,
            transactions,
            dependencies.retries,
            dependencies.replies,
        ),
    )


def _build_transactions(dependencies: SystemDependencies) -> TransactionSystem:
    checks = CommitOutcomeChecks(
        dependencies.gate,
        dependencies.executions,
        dependencies.acknowledgements,
        dependencies.replies,
        dependencies.retries,
    )
    return TransactionSystem(
        dependencies.context,
        dependencies.gate,
        dependencies.executions,
        dependencies.acknowledgements,
        checks,
        dependencies.replies,
        dependencies.retries,
    )
