"""Transaction of a session, and what its caller has been told of it."""

import enum

import msgspec

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._actions import TransactionState
from bergamotcart.entry._timers import Timer
from bergamotcart.executions import LedgerKey


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


class SessionTransaction:
    """State of the transaction of one session.

    A caller relies on a transaction from the answer that reports it as open until an answer that
    reports its end. Every statement in between must run in that transaction or not at all. If the
    transaction ends between two statements, its end is therefore kept as unreported, and the next
    statement is refused.
    """

    __slots__ = ('_begun', '_has_unreported_end', '_pinned')

    def __init__(self) -> None:
        """Create the state of a session without a transaction."""
        self._begun: BegunTransaction | None = None
        self._pinned: Transaction | None = None
        self._has_unreported_end = False

    @property
    def begun(self) -> BegunTransaction | None:
        """Transaction whose BEGIN was answered, until it ends or has failed to start."""
        return self._begun

    @property
    def pinned(self) -> Transaction | None:
        """Transaction that has a connection to an instance."""
        return self._pinned

    @property
    def has_unreported_end(self) -> bool:
        """Whether the transaction was rolled back and its caller has not been told."""
        return self._has_unreported_end

    @property
    def is_awaiting_connection(self) -> bool:
        """Whether the next statement is the first one of the transaction."""
        return self._begun is not None and self._pinned is None

    @property
    def state(self) -> TransactionState:
        """State that answers to the caller carry."""
        if self._has_unreported_end:
            return TransactionState.failed
        is_open = self._begun is not None or self._pinned is not None
        return TransactionState.open if is_open else TransactionState.none

    def begin(self, *, read_only: bool) -> None:
        """Begin a transaction without a connection, which the answer in progress reports."""
        self._begun = BegunTransaction(read_only)

    def pin(self, transaction: Transaction) -> None:
        """Start to open the transaction on a connection."""
        self._pinned = transaction

    def unpin(self) -> None:
        """Give up a connection on which no statement of the transaction was answered.

        The statement in progress may open the transaction on another connection.
        """
        self._pinned = None

    def confirm_open(self) -> None:
        """Record that the connection is in the transaction, which the answer in progress reports.

        The BEGIN of a new transaction also ends one whose end was not reported.
        """
        if self._pinned is not None:
            self._pinned.phase = TransactionPhase.open
        self._has_unreported_end = False

    def end(self) -> None:
        """End the transaction; the answer in progress reports that."""
        self._pinned = None
        self._begun = None

    def end_unreported(self) -> None:
        """End the transaction without an answer in progress that would report it."""
        self.end()
        self._has_unreported_end = True

    def report_end(self) -> None:
        """Record that the answer in progress reports that no transaction is open.

        It has no effect on a transaction that has a connection.
        """
        if self._pinned is None:
            self._begun = None
            self._has_unreported_end = False

    def cancel_begun(self) -> None:
        """End a transaction whose first statement is refused; that answer reports the end."""
        if self._pinned is None:
            self._begun = None
