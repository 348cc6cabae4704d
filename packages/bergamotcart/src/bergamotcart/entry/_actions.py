"""Actions of the entry engine."""

import enum
from dataclasses import dataclass

from bergamotcart.actions import Decision, Send
from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._execution import ConnectionUse, LedgerKey, SessionState, Step
from bergamotcart.outcomes import NotRun, Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Run the steps in order on one connection to a target.

    The adapter stops at the first failing step. If ``ledger_insert`` fails because
    the row exists, it rolls back, reads the row and reports ``duplicate``.

    :param timeout_s: seconds until the adapter closes the connection and reports ``lost``.
    :param ledger_retention_s: age in seconds from which a request identifier is refused; the
        adapter prunes rows of twice that age, and none if it is ``None``.
    :param state: settings and prepared statement that the connection must hold first.
    """

    execution_id: int
    request_id: int
    session_id: int
    target: TargetKey
    address: str
    steps: tuple[Step, ...]
    use: ConnectionUse
    timeout_s: float
    ledger: LedgerKey | None = None
    ledger_retention_s: float | None = None
    state: SessionState | None = None


@enum.unique
class TransactionState(enum.StrEnum):
    """Whether a session is inside a transaction."""

    none = 'none'
    open = 'open'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a caller; exactly one per request.

    :param transaction: state of the session after the answer.
    """

    request_id: int
    outcome: Outcome
    transaction: TransactionState = TransactionState.none


@dataclass(frozen=True, slots=True)
class SessionAnswer:
    """Tell a caller whether its session may go on.

    :param refusal: why not, or ``None``.
    """

    session_id: int
    refusal: NotRun | None


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close the connection of a session that has no statement and no transaction."""

    session_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Ask a target for its position on the connection kept for probes.

    :param wait_for: if set, the target may delay its answer until it has this position.
    :param timeout_s: seconds until the probe counts as silent.
    """

    target: TargetKey
    address: str
    wait_for: Position | None
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ReleasePin:
    """Close the connection pinned for a session."""

    session_id: int


@dataclass(frozen=True, slots=True)
class LimitConnections:
    """Keep at most ``limit`` connections to a target, without the one for probes.

    :param idle_s: seconds after which an unused connection is closed, also the one for probes;
        ``None`` keeps them.
    """

    target: TargetKey
    address: str
    limit: int
    idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class Drained:
    """No request and no transaction is left; the process may exit."""


EntryAction = (
    Send
    | Execute
    | Reply
    | SessionAnswer
    | CloseSession
    | Probe
    | ReleasePin
    | LimitConnections
    | Drained
    | Decision
)
