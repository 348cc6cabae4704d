"""Data types that describe an execution at a target."""

import enum

import msgspec

from bergamotcart.discovery import Position


@enum.unique
class StepKind(enum.StrEnum):
    """Kinds of steps of an execution at a target."""

    begin = 'begin'
    ledger_insert = 'ledger_insert'
    statement = 'statement'
    ledger_record = 'ledger_record'
    commit = 'commit'
    rollback = 'rollback'
    position = 'position'


class LedgerKey(msgspec.Struct, frozen=True):
    """Identifies a request that must run at most once.

    :param fingerprint: digest of the statement, which detects a reused identifier.
    :param issued_at_ms: issue time that the identifier contains, in Unix milliseconds, or ``None``.
    """

    caller: str
    request_id: str
    fingerprint: str
    issued_at_ms: int | None


class LedgerRecord(msgspec.Struct, frozen=True):
    """Outcome of an earlier execution with the same request identifier."""

    fingerprint: str
    affected_rows: int
    last_insert_id: int
    position: Position | None = None


@enum.unique
class ConnectionUse(enum.StrEnum):
    """How an execution uses connections.

    ``shared``: any connection to the target, returned afterwards.
    ``pin``: a connection that is then pinned to the session.
    ``pinned``: the connection that is pinned to the session.
    ``unpin``: the pinned connection, which is released afterwards.
    """

    shared = 'shared'
    pin = 'pin'
    pinned = 'pinned'
    unpin = 'unpin'


@enum.unique
class ExecutionStatus(enum.StrEnum):
    """How an execution ended.

    ``not_sent``: no byte of any step was sent, for instance because the connection was refused.
    ``lost``: the connection broke or timed out after a step was sent.
    ``duplicate``: the ledger already has the request identifier; the transaction was rolled back.
    """

    completed = 'completed'
    target_error = 'target_error'
    not_sent = 'not_sent'
    lost = 'lost'
    duplicate = 'duplicate'


class PreparedShape(msgspec.Struct, frozen=True):
    """A prepared statement of a session.

    :param name: name on connections to targets, the same for equal statements of all sessions.
    :param shape: text of the statement.
    :param read_only: whether the statement only reads.
    """

    name: str
    shape: str
    read_only: bool


class SessionState(msgspec.Struct, frozen=True):
    """State that a connection must have before it runs a statement of a session.

    :param settings: name and value of each session setting, sorted by name.
    :param prepared: prepared statement to execute, if any.
    """

    settings: tuple[tuple[str, str], ...] = ()
    prepared: PreparedShape | None = None


class Step(msgspec.Struct, frozen=True):
    """One statement of an execution.

    :param sql: text of the statement, or the arguments of a prepared one.
    :param floor: position that the instance must have reached before it runs the statement.
    :param statement_id: the caller's identifier of the statement, passed on to the target.
    :param prepared: prepared statement to execute, if any.
    """

    kind: StepKind
    sql: str = ''
    floor: Position | None = None
    statement_id: str = ''
    prepared: PreparedShape | None = None
