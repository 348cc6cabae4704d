"""Classification of MySQL statements and their translation to the SQLite dialect."""

import enum
import re
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

_LEADING_COMMENTS: Final = re.compile(r'^(?:\s|/\*.*?\*/|#[^\n]*\n|--\s[^\n]*\n)+', re.DOTALL)
_LITERAL: Final = re.compile(r"(_binary\s*)?'((?:[^'\\]|\\.|'')*)'", re.DOTALL)
_ESCAPE: Final = re.compile(r"\\(.)|''", re.DOTALL)
_ESCAPE_VALUES: Final = MappingProxyType(
    {'0': '\0', 'n': '\n', 'r': '\r', 't': '\t', 'b': '\b', 'Z': '\x1a'}
)
_FOR_UPDATE: Final = re.compile(r'\s+(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)\b', re.I)
# MySQL syntax that SQLite does not have, or spells differently.
_REWRITES: Final = (
    (re.compile(r'\bINSERT\s+IGNORE\b', re.I), 'INSERT OR IGNORE'),
    (re.compile(r'\)\s*ENGINE\s*=?\s*\w+.*$', re.I | re.DOTALL), ')'),
    (
        re.compile(
            r'\b(?:BIG)?INT(?:EGER)?\s+(?:NOT\s+NULL\s+)?AUTO_INCREMENT\s+PRIMARY\s+KEY', re.I
        ),
        'INTEGER PRIMARY KEY AUTOINCREMENT',
    ),
    # With another type name, SQLite type affinity converts strings of digits to numbers.
    (re.compile(r'\b(?:VAR)?BINARY\s*\(\s*\d+\s*\)', re.I), 'BLOB'),
    (re.compile(r'\bUNSIGNED\b|\bCHARACTER\s+SET\s+\w+|\bCOLLATE\s+utf8\w*', re.I), ''),
)
_AUTOCOMMIT: Final = re.compile(r'^SET\s+(?:SESSION\s+)?AUTOCOMMIT\s*=\s*(\w+)', re.I)
_WAIT: Final = re.compile(r'^WAIT\s+FOR\s+POSITION\s+(\d+)\s+(\d+)\s+(\d+)\s*;?\s*$', re.I)
_POSITION: Final = re.compile(r'^SHOW\s+REPLICATION\s+POSITION\b', re.I)
_ROLLBACK_TO: Final = re.compile(r'^ROLLBACK\s+(?:WORK\s+)?TO\b', re.I)


@enum.unique
class StatementKind(enum.Enum):
    """Kind of a statement, which selects how the target executes it."""

    read = 'read'
    locking_read = 'locking_read'
    write = 'write'
    begin = 'begin'
    commit = 'commit'
    rollback = 'rollback'
    session = 'session'
    position = 'position'
    wait = 'wait'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement of a caller.

    :param text: statement as received.
    :param storage_sql: statement in the SQLite dialect of the storage.
    :param arguments: log term, position and timeout in milliseconds of ``WAIT FOR POSITION``.
    :param autocommit: new autocommit mode, if the statement sets it.
    """

    kind: StatementKind
    text: str
    storage_sql: str = ''
    arguments: tuple[int, ...] = ()
    autocommit: bool | None = None


_KEYWORD_KINDS: Final = MappingProxyType(
    {
        'SELECT': StatementKind.read,
        'WITH': StatementKind.read,
        'VALUES': StatementKind.read,
        'BEGIN': StatementKind.begin,
        'START': StatementKind.begin,
        'COMMIT': StatementKind.commit,
        'ROLLBACK': StatementKind.rollback,
        'SET': StatementKind.session,
        'USE': StatementKind.session,
    }
)
_WRITE_KEYWORDS: Final = frozenset(
    ('INSERT', 'REPLACE', 'UPDATE', 'DELETE', 'CREATE', 'DROP', 'ALTER', 'SAVEPOINT', 'RELEASE')
)


def parse_statement(text: str) -> Statement:
    """Classify a statement and translate it.

    :param text: MySQL text.
    """
    sql = _LEADING_COMMENTS.sub('', text).rstrip().rstrip(';')
    wait = _WAIT.match(sql)
    if wait:
        return Statement(StatementKind.wait, text, arguments=tuple(map(int, wait.groups())))
    if _POSITION.match(sql):
        return Statement(StatementKind.position, text)
    mode = _AUTOCOMMIT.match(sql)
    if mode:
        enabled = mode.group(1).upper() in {'1', 'ON', 'TRUE'}
        return Statement(StatementKind.session, text, autocommit=enabled)
    return Statement(_kind(sql), text, storage_sql=to_storage_dialect(sql))


def to_storage_dialect(sql: str) -> str:
    """Translate a MySQL statement, including its string literals, to the SQLite dialect."""
    parts: list[str] = []
    end = 0
    for literal in _LITERAL.finditer(sql):
        parts.append(_rewrite(sql[end : literal.start()]))
        parts.append(_translate_literal(literal))
        end = literal.end()
    parts.append(_rewrite(sql[end:]))
    return ''.join(parts)


def _kind(sql: str) -> StatementKind:
    words = sql.split(None, 1)
    word = words[0].upper() if words else ''
    if word in _WRITE_KEYWORDS or _ROLLBACK_TO.match(sql):
        return StatementKind.write
    kind = _KEYWORD_KINDS.get(word, StatementKind.unknown)
    if kind is StatementKind.read and _FOR_UPDATE.search(sql):
        return StatementKind.locking_read
    return kind


def _rewrite(sql: str) -> str:
    text = _FOR_UPDATE.sub('', sql)
    for pattern, replacement in _REWRITES:
        text = pattern.sub(replacement, text)
    return text


def _translate_literal(literal: re.Match[str]) -> str:
    text = _ESCAPE.sub(_unescape, literal.group(2))
    if literal.group(1):
        # PyMySQL sends binary values in the statement text, decoded with surrogate escapes.
        return "X'{0}'".format(text.encode('utf-8', 'surrogateescape').hex())
    return "'{0}'".format(text.replace("'", "''"))


def _unescape(match: re.Match[str]) -> str:
    escaped = match.group(1)
    if escaped is None:
        return "'"
    return _ESCAPE_VALUES.get(escaped, escaped)
