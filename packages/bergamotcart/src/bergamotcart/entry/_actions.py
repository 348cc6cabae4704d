"""Actions of the entry engine."""

import enum

import msgspec

from bergamotcart.actions import Decision, Send
from bergamotcart.discovery import Position, TargetKey
from bergamotcart.executions import ConnectionUse, LedgerKey, SessionState, Step
from bergamotcart.outcomes import NotRun, Outcome


class Execute(msgspec.Struct, frozen=True, kw_only=True):
    """Execute steps in order on one connection to a target.

    The adapter stops at the first step that fails. If ``ledger_insert`` fails because the row
    exists, it rolls back, reads the row and reports ``duplicate``.

    :param timeout_s: seconds until the adapter closes the connection and reports ``lost``.
    :param ledger_retention_s: age in seconds from which a request identifier is refused; the
        adapter prunes rows of twice that age, and none if it is ``None``.
    :param state: settings and prepared statement that the connection must have first, if any.
    :param workspace: name of the workspace that the connection must belong to; empty for none.
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
    workspace: str = ''


@enum.unique
class TransactionState(enum.StrEnum):
    """State of the transaction of a session, as reported to the caller."""

    none = 'none'
    open = 'open'
    failed = 'failed'


class Reply(msgspec.Struct, frozen=True):
    """Reply to a request; each request gets exactly one reply.

    :param transaction: state of the session after the reply.
    """

    request_id: int
    outcome: Outcome
    transaction: TransactionState = TransactionState.none


class SessionAnswer(msgspec.Struct, frozen=True):
    """Accept or refuse a new session.

    :param refusal: reason for the refusal, or ``None`` if the session is accepted.
    """

    session_id: int
    refusal: NotRun | None


class CloseSession(msgspec.Struct, frozen=True):
    """Close the connection of a session that has no statement and no transaction."""

    session_id: int


class Probe(msgspec.Struct, frozen=True, kw_only=True):
    """Probe the position of a target on the connection that is kept for probes.

    :param wait_for: if set, the target may delay its answer until it has reached this position.
    :param timeout_s: seconds after which an unanswered probe is reported as silent.
    """

    target: TargetKey
    address: str
    wait_for: Position | None
    timeout_s: float


class ReleasePin(msgspec.Struct, frozen=True):
    """Close the connection that is pinned to a session."""

    session_id: int


class LimitConnections(msgspec.Struct, frozen=True):
    """Limit the connections to a target, not counting the one for probes.

    :param limit: greatest number of open connections.
    :param idle_s: seconds after which an unused connection is closed, including the one for probes;
        ``None`` keeps unused connections open.
    :param kept: number of connections that stay open although they are unused.
    """

    target: TargetKey
    address: str
    limit: int
    idle_s: float | None = None
    kept: int = 0


class Drained(msgspec.Struct, frozen=True):
    """Report that all requests and transactions have ended, so that the process may exit."""


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
