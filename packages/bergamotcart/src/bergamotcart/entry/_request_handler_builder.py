"""Construction of the request handlers."""

import msgspec

from bergamotcart.entry._commit_outcome_checks import CommitOutcomeChecks
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher
from bergamotcart.entry._reads import ReadHandler
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._request_handlers import RequestHandlers
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_reads import RoutedReadHandler
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._target_limits import TargetLimiters
from bergamotcart.entry._tokens import TokenHandler
from bergamotcart.entry._transactions import TransactionHandler
from bergamotcart.entry._writes import WriteHandler


class RequestHandlerDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Components that the request handlers are built from."""

    context: EngineContext
    limiters: TargetLimiters
    monitor: TargetMonitor
    primary_dispatcher: PrimaryDispatcher
    executions: Executions
    floors: SessionFloors
    acknowledgements: ReplicationAcknowledgements
    retries: Retries
    replies: Replies


def build_request_handlers(dependencies: RequestHandlerDependencies) -> RequestHandlers:
    """Build one handler per kind of request."""
    transactions = _build_transactions(dependencies)
    return RequestHandlers(
        reads=ReadHandler(
            dependencies.context,
            dependencies.limiters,
            dependencies.monitor,
            dependencies.primary_dispatcher,
            dependencies.executions,
            dependencies.floors,
            dependencies.retries,
            dependencies.replies,
        ),
        writes=WriteHandler(
            dependencies.primary_dispatcher,
            dependencies.executions,
            dependencies.acknowledgements,
            dependencies.replies,
            dependencies.retries,
        ),
        transactions=transactions,
        tokens=TokenHandler(dependencies.context, dependencies.floors, dependencies.replies),
        routed_reads=RoutedReadHandler(
            dependencies.context,
            dependencies.limiters,
            dependencies.monitor,
            dependencies.primary_dispatcher,
            dependencies.executions,
            transactions,
            dependencies.retries,
            dependencies.replies,
        ),
    )


def _build_transactions(dependencies: RequestHandlerDependencies) -> TransactionHandler:
    outcome_checks = CommitOutcomeChecks(
        dependencies.primary_dispatcher,
        dependencies.executions,
        dependencies.acknowledgements,
        dependencies.replies,
        dependencies.retries,
    )
    return TransactionHandler(
        dependencies.context,
        dependencies.primary_dispatcher,
        dependencies.executions,
        dependencies.acknowledgements,
        outcome_checks,
        dependencies.replies,
        dependencies.retries,
    )
