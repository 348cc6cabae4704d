"""Inputs of the entry engine."""

import msgspec

from bergamotcart import messages
from bergamotcart.actions import MessageReceived
from bergamotcart.discovery import Position, PositionReport, TargetKey
from bergamotcart.executions import ExecutionStatus, LedgerRecord, StepKind
from bergamotcart.outcomes import RequestResult, TargetError
from bergamotcart.statements import Statement


class AnnouncementReceived(msgspec.Struct, frozen=True):
    """A target of this entry's availability zone announced itself."""

    announcement: messages.Announcement


class SessionOpened(msgspec.Struct, frozen=True):
    """A caller connected.

    :param caller: name of the caller, or its key where the document has workspaces.
    :param group: group that the caller selected, if any.
    :param database: database name of the route that the caller selected in place of a group;
        the engine answers with ``SessionAnswer``.
    """

    session_id: int
    caller: str
    group: str | None
    database: str | None = None


class GroupSelected(msgspec.Struct, frozen=True):
    """A caller changed the group of its connection."""

    session_id: int
    group: str


class SessionClosed(msgspec.Struct, frozen=True):
    """A caller's connection ended; its open transaction must not continue."""

    session_id: int


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller sent a statement.

    :param request_id: unique within the process.
    :param sql: the statement as sent, with its comments.
    :param unix_ms: wall clock of the adapter, in milliseconds, against which the issue
        time of a request identifier is checked; ``None`` skips that check.
    :param statement: the statement as the adapter classified it, for sessions of a route.
    :param statement_id: the caller's identifier of the statement.
    """

    request_id: int
    session_id: int
    sql: str
    unix_ms: int | None = None
    statement: Statement | None = None
    statement_id: str = ''


class ExecutionFinished(msgspec.Struct, frozen=True, kw_only=True):
    """An execution ended.

    :param failed_step: kind of the step that failed, if any.
    :param connection_clean: whether the connection is known to have no transaction and no changed
        state.
    :param connection_refused: whether the connection was refused or reset, as opposed to
        unanswered.
    :param position: position in the instance's log that its last answer carried, if any.
    :param is_transaction_open: whether the instance reported with its error that the transaction
        goes on, so that the refused statement may be repeated in it.
    """

    execution_id: int
    status: ExecutionStatus
    result: RequestResult | None = None
    report: PositionReport | None = None
    failed_step: StepKind | None = None
    error: TargetError | None = None
    record: LedgerRecord | None = None
    connection_clean: bool = True
    connection_refused: bool = False
    position: Position | None = None
    is_transaction_open: bool = False


class ProbeFinished(msgspec.Struct, frozen=True):
    """A probe ended; ``failure`` is set if it was not answered with a report.

    :param sent_at: time at which the probe was sent, in seconds.
    """

    target: TargetKey
    sent_at: float
    report: PositionReport | None
    failure: messages.Reachability | None = None


class ConnectionCount(msgspec.Struct, frozen=True):
    """Number of open connections to a target, without the connection for probes."""

    target: TargetKey
    open: int


class PinLost(msgspec.Struct, frozen=True):
    """The connection that was pinned for a session broke while no statement ran on it."""

    session_id: int


class DrainRequested(msgspec.Struct, frozen=True):
    """The process is asked to shut down gracefully.

    :param notice_s: seconds for which new sessions are still served, because the load balancer
        sends them until it notices that the process is draining.
    :param limit_s: seconds after which transactions that are still open are rolled back; with
        ``None``, only the limits of the transactions themselves apply.
    """

    notice_s: float = 0.0
    limit_s: float | None = None


class ContactPointsChanged(msgspec.Struct, frozen=True):
    """The settings were reloaded and name other control members to contact.

    :param members: name and inter-process address of each.
    """

    members: tuple[tuple[str, str], ...]


EntryInput = (
    MessageReceived
    | AnnouncementReceived
    | SessionOpened
    | GroupSelected
    | SessionClosed
    | RequestArrived
    | ExecutionFinished
    | ProbeFinished
    | ConnectionCount
    | PinLost
    | DrainRequested
    | ContactPointsChanged
)
