"""Parts of an execution at a target."""

import enum
from dataclasses import dataclass

from bergamotcart.discovery import Position


@enum.unique
class StepKind(enum.StrEnum):
    """Kinds of statements that make up one execution at a target."""

    begin = 'begin'
    ledger_insert = 'ledger_insert'
    statement = 'statement'
    ledger_record = 'ledger_record'
    commit = 'commit'
    rollback = 'rollback'
    position = 'position'


@dataclass(frozen=True, slots=True)
class LedgerKey:
    """Identifies a request that must run at most once.

    :param fingerprint: digest of the statement, to detect a reused identifier.
    :param issued_at_ms: issue time in the identifier, in Unix milliseconds, or ``None``.
    """

    caller: str
    request_id: str
    fingerprint: str
    issued_at_ms: int | None


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """Recorded outcome of an earlier run of the same request identifier."""

    fingerprint: str
    affected_rows: int
    last_insert_id: int
    position: Position | None = None


@enum.unique
class ConnectionUse(enum.StrEnum):
    """How an execution uses connections."""

    shared = 'shared'
    pin = 'pin'
    pinned = 'pinned'
    unpin = 'unpin'


@enum.unique
class ExecutionStatus(enum.StrEnum):
    """How an execution ended.

    ``not_sent``: no byte of any step left, for instance the connection was refused.
    ``lost``: the connection broke or timed out after a step was sent.
    ``duplicate``: the ledger holds the request identifier already; rolled back.
    """

    completed = 'completed'
    target_error = 'target_error'
    not_sent = 'not_sent'
    lost = 'lost'
    duplicate = 'duplicate'


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A statement that a session has prepared.

    :param name: name on connections to targets, the same for equal statements of all sessions.
    :param shape: text of the statement.
    :param read_only: whether it only reads.
    """

    name: str
    shape: str
    read_only: bool


@dataclass(frozen=True, slots=True)
class SessionState:
    """What a connection must hold before a statement of a session runs on it.

    :param settings: name and value of each session setting, sorted by name.
    :param prepared: the prepared statement that runs, if any.
    """

    settings: tuple[tuple[str, str], ...] = ()
    prepared: PreparedShape | None = None


@dataclass(frozen=True, slots=True)
class Step:
    """One statement of an execution.

    :param sql: text of the statement; of a prepared one, its arguments.
    :param floor: position that the instance must have before it runs the statement.
    :param statement_id: the caller's identifier of the statement, passed on to the target.
    :param prepared: prepared statement to execute, if it is one.
    """

    kind: StepKind
    sql: str = ''
    floor: Position | None = None
    statement_id: str = ''
    prepared: PreparedShape | None = None
