"""Sessions of callers: the positions that they have seen, and their transactions."""

from collections.abc import Iterator

import msgspec

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.documents import ResolvedRoute
from bergamotcart.entry._session_transaction import SessionTransaction
from bergamotcart.executions import PreparedShape
from bergamotcart.sessions import Floors


class LastRead(msgspec.Struct, frozen=True):
    """A read whose position in the log is not known yet.

    :param incarnation: incarnation of the instance when the read was sent.
    :param ended_at: time at which the read ended, in seconds.
    """

    target: TargetKey
    incarnation: str
    ended_at: float


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
    :param database: name of the route that the caller selected, if it uses one.
    :param settings: session settings that the caller has set.
    :param prepared: statements that the caller has prepared, by the caller's names.
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
    closed: bool = False
    transaction: SessionTransaction = msgspec.field(default_factory=SessionTransaction)
    floors: Floors = msgspec.field(default_factory=Floors)
    initial_floors: dict[str, Position] = msgspec.field(default_factory=dict)
    last_reads: dict[str, LastRead] = msgspec.field(default_factory=dict)
    database: str | None = None
    settings: dict[str, str] = msgspec.field(default_factory=dict)
    prepared: dict[str, PreparedShape] = msgspec.field(default_factory=dict)
    resolved_route: ResolvedRoute | None = None
    own_writes: dict[str, OwnWrite] = msgspec.field(default_factory=dict)
    workspace: str = ''
    key_digest: str = ''
    is_unauthenticated: bool = False


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
