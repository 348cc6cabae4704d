"""Sessions of callers, what they have seen, and their open transactions."""

import enum
from dataclasses import dataclass, field

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._execution import LedgerKey
from bergamotcart.entry._timers import Timer
from bergamotcart.sessions import Floors


@dataclass(frozen=True, slots=True)
class LastRead:
    """A read whose position is not known yet.

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


@dataclass(slots=True)
class Transaction:
    """A transaction on a pinned connection.

    :param term: term of the group when it began.
    :param ledger: identifier under which its outcome is recorded, if any.
    """

    target: TargetKey
    term: int
    group: str
    ledger: LedgerKey | None = None
    phase: TransactionPhase = TransactionPhase.opening
    limit_timer: Timer | None = None
    idle_timer: Timer | None = None


@dataclass(slots=True)
class Session:
    """One connection of a caller.

    :param seeds: floor per group from the primary's position after the session arrived.
    :param last_reads: per group, the read that has not raised the floor yet.
    :param refused: set when the caller has too many connections.
    :param rolled_back: set when a transaction was rolled back by the proxy; its remaining
        statements must not run on their own.
    """

    session_id: int
    caller: str
    group: str | None
    opened_at: float
    autocommit: bool = True
    refused: bool = False
    rolled_back: bool = False
    closed: bool = False
    transaction: Transaction | None = None
    floors: Floors = field(default_factory=Floors)
    seeds: dict[str, Position] = field(default_factory=dict)
    last_reads: dict[str, LastRead] = field(default_factory=dict)


class SessionTable:
    """Sessions by identifier."""

    __slots__ = ('_sessions',)

    def __init__(self) -> None:
        """Start without sessions."""
        self._sessions: dict[int, Session] = {}

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def get(self, session_id: int) -> Session | None:
        """Return a session, or ``None`` if it is closed."""
        return self._sessions.get(session_id)

    def add(self, session: Session) -> None:
        """Add a session."""
        self._sessions[session.session_id] = session

    def close(self, session_id: int) -> Session | None:
        """Remove a session and return it."""
        session = self._sessions.pop(session_id, None)
        if session is not None:
            session.closed = True
        return session
