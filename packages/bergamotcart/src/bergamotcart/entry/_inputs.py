"""Inputs of the entry engine."""

from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.actions import MessageReceived
from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry._execution import ExecutionStatus, LedgerRecord, StepKind
from bergamotcart.outcomes import RequestResult, TargetError


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """A target of the own availability zone announced itself."""

    announcement: messages.Announcement


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A caller connected."""

    session_id: int
    caller: str
    group: str | None


@dataclass(frozen=True, slots=True)
class GroupSelected:
    """A caller changed the group of its connection."""

    session_id: int
    group: str


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A caller's connection ended; its open transaction must not continue."""

    session_id: int


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a statement.

    :param request_id: unique within the process.
    :param sql: the statement as sent, with its comments.
    :param unix_ms: wall clock of the adapter, in milliseconds, against which the issue
        time of a request identifier is checked; ``None`` leaves that check out.
    """

    request_id: int
    session_id: int
    sql: str
    unix_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecutionFinished:
    """An execution ended.

    :param failed_step: kind of the step that failed, if any.
    :param clean: the connection is known to be in a clean state and not in a transaction.
    :param refused: the connection was refused or reset rather than silent.
    """

    execution_id: int
    status: ExecutionStatus
    result: RequestResult | None = None
    report: PositionReport | None = None
    failed_step: StepKind | None = None
    error: TargetError | None = None
    record: LedgerRecord | None = None
    clean: bool = True
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A probe ended; ``failure`` is set when no report came.

    :param sent_at: when the probe was sent, in seconds.
    """

    target: TargetKey
    sent_at: float
    report: PositionReport | None
    failure: messages.Reachability | None = None


@dataclass(frozen=True, slots=True)
class ConnectionCount:
    """Number of open connections to a target, without the one for probes."""

    target: TargetKey
    open: int


@dataclass(frozen=True, slots=True)
class PinLost:
    """The connection that was pinned for a session broke while no statement ran on it."""

    session_id: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process is asked to shut down gracefully."""


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
)
