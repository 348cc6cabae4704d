"""Log records and history events of a stand-in target."""

import enum

import msgspec


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One committed transaction in the log of a group.

    :param position: number of the record, from 1, continuing across terms.
    :param term: term of the primary that wrote the record.
    :param transaction: identifier of the transaction; empty for the first record of a term.
    :param statements: statements in the dialect of the storage.
    :param time: monotonic clock of the machine at commit, in seconds.
    """

    position: int
    term: int
    transaction: str = ''
    statements: tuple[str, ...] = ()
    time: float = 0.0


@enum.unique
class EventKind(enum.StrEnum):
    """Kinds of events in the history."""

    read = 'read'
    write = 'write'
    begin = 'begin'
    commit = 'commit'
    rollback = 'rollback'


class Event(msgspec.Struct, kw_only=True):
    """One executed statement.

    :param time: monotonic clock of the machine, in seconds.
    :param connection: number of the connection.
    :param user: MySQL user of the connection.
    :param transaction: identifier of the transaction.
    :param committed: ``None`` while the transaction is open; false for reads.
    :param role: role of the instance at execution.
    :param term: term of the instance at execution.
    :param log_term: term of the record read up to, or written.
    :param position: position read up to, or of the record written.
    :param error: MySQL error number, or 0.
    """

    time: float
    connection: int
    user: str
    transaction: str
    kind: EventKind
    statement: str
    committed: bool | None
    role: str
    term: int
    log_term: int
    position: int
    error: int = 0


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a replica that asks for the records after a position.

    :param diverged: the replica's last record is not in this log.
    :param terms: (term, last position) for each term of this log, if ``diverged``.
    """

    records: tuple[LogRecord, ...] = ()
    diverged: bool = False
    terms: tuple[tuple[int, int], ...] = ()


def term_ends(records: list[LogRecord]) -> tuple[tuple[int, int], ...]:
    """Return (term, last position) for each term of a log, in order."""
    ends: dict[int, int] = {}
    for record in records:
        ends[record.term] = record.position
    return tuple(ends.items())


def common_length(records: list[LogRecord], ends: tuple[tuple[int, int], ...]) -> int:
    """Return the number of leading records that a log shares with another one.

    Two logs that hold a record of the same term at the same position are equal up to it, since
    one primary writes all records of a term.

    :param records: one log.
    :param ends: term ends of the other log.
    """
    own = dict(term_ends(records))
    shared = [min(end, own[term]) for term, end in ends if term in own]
    return max(shared, default=0)
