"""Sessions of callers: the positions that they have seen, and their open transactions."""

import enum
from collections.abc import Iterator

import msgspec

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.documents import ResolvedRoute
from bergamotcart.entry._actions import TransactionState
from bergamotcart.entry._timers import Timer
from bergamotcart.executions import LedgerKey, PreparedShape
from bergamotcart.sessions import Floors


class LastRead(msgspec.Struct, frozen=True):
    """A read whose position in the log is not known yet.

    :param incarnation: incarnation of the instance when the read was sent.
    :param ended_at: time at which the read ended, in seconds.
    """

    target: TargetKey
    incarnation: str
    ended_at: float


@enum.unique
class TransactionPhase(enum.Enum):
    """Progress of a transaction."""

    opening = enum.auto()
    open = enum.auto()
    ending = enum.auto()


class Transaction(msgspec.Struct):
    """A transaction on a pinned connection.

    :param term: term of the group when it began.
    :param ledger: identifier under which its outcome is recorded, if any.
    :param is_routed: whether the session uses a route. The target itself then refuses the
        statements once it is replaced as primary, so continuing needs no lease.
    :param has_written: whether a write was sent in the transaction.
    """

    target: TargetKey
    term: int
    group: str
    ledger: LedgerKey | None = None
    phase: TransactionPhase = TransactionPhase.opening
    limit_timer: Timer | None = None
    idle_timer: Timer | None = None
    is_routed: bool = False
    has_written: bool = False


class BegunTransaction(msgspec.Struct, frozen=True):
    """A transaction that a caller has begun; its first statement pins a connection for it."""

    read_only: bool


class OwnWrite(msgspec.Struct, frozen=True):
    """Position of the newest write of a session.

    :param term: term of the group when the write was acknowledged.
    """

    term: int
    position: Position


class Session(msgspec.Struct):
    """One connection of a caller.

    :param initial_floors: floor per group of a session without a token: a position of the
        primary that was probed after the session was opened.
    :param last_reads: per group, the last read, whose position has not raised the floor yet.
    :param is_over_connection_limit: set when the caller has too many connections.
    :param rolled_back: set when a transaction was rolled back by the proxy; its remaining
        statements must not run on their own.
    :param database: name of the route that the caller selected, if it uses one.
    :param settings: session settings that the caller has set.
    :param prepared: statements that the caller has prepared, by the caller's names.
    :param begun_transaction: transaction that the caller has begun, until it ends or has failed to
        start.
    :param resolved_route: route and policy of the newest statement; they stay in force until an
        open transaction ends.
    :param own_writes: newest write per group, for sessions that use a route.
    :param workspace: name of the workspace whose key the caller presented; empty for none.
    :param key_digest: digest of that key (``digest_key``); the key itself is not kept.
    :param is_unauthenticated: whether the applied document has workspaces, none of which holds the
        key, and the route is not public.
    """

    session_id: int
    caller: str
    group: str | None
    opened_at: float
    autocommit: bool = True
    is_over_connection_limit: bool = False
    rolled_back: bool = False
    closed: bool = False
    transaction: Transaction | None = None
    floors: Floors = msgspec.field(default_factory=Floors)
    initial_floors: dict[str, Position] = msgspec.field(default_factory=dict)
    last_reads: dict[str, LastRead] = msgspec.field(default_factory=dict)
    database: str | None = None
    settings: dict[str, str] = msgspec.field(default_factory=dict)
    prepared: dict[str, PreparedShape] = msgspec.field(default_factory=dict)
    begun_transaction: BegunTransaction | None = None
    resolved_route: ResolvedRoute | None = None
    own_writes: dict[str, OwnWrite] = msgspec.field(default_factory=dict)
    workspace: str = ''
    key_digest: str = ''
    is_unauthenticated: bool = False

    @property
    def transaction_state(self) -> TransactionState:
        """Transaction state that replies to the caller carry."""
        if self.rolled_back:
            return TransactionState.failed
        is_open = self.begun_transaction is not None or self.transaction is not None
        return TransactionState.open if is_open else TransactionState.none


class SessionTable:
    """Sessions by identifier."""

    __slots__ = ('_sessions',)

    def __init__(self) -> None:
        """Create an empty table."""
        self._sessions: dict[int, Session] = {}

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def __iter__(self) -> Iterator[Session]:
        """Iterate over the open sessions."""
        return iter(tuple(self._sessions.values()))

    def get(self, session_id: int) -> Session | None:
        """Return a session, or ``None`` if it is closed."""
        return self._sessions.get(session_id)

    def add(self, session: Session) -> None:
        """Add a session."""
        self._sessions[session.session_id] = session

    def close(self, session_id: int) -> Session | None:
        """Remove a session, mark it as closed, and return it, or ``None`` if it is unknown."""
        session = self._sessions.pop(session_id, None)
        if session is not None:
            session.closed = True
        return session
