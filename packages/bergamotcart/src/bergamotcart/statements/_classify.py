"""Classification of raw SQL by its words, without a full parse."""

import enum
import functools
import re
from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

_CACHED_STATEMENTS: Final = 4096

# Quoted text and comments first, so that words and semicolons inside them do not count.
_TOKEN: Final = re.compile(
    r"""
    (?P<quoted>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<name>`(?:[^`]|``)*`)
    |(?P<executable>/\*!|/\*M!)
    |(?P<comment>/\*.*?\*/|--(?=[\s]|$)[^\n]*|\#[^\n]*)
    |(?P<word>@{0,2}[A-Za-z_][\w$]*(?:\.[\w$]+)*|[0-9][\w.]*)
    |(?P<separator>;)
    |(?P<symbol>:=|[^\s])
    """,
    re.VERBOSE | re.DOTALL,
)

_READ_VERBS: Final = frozenset(('SELECT', 'SHOW', 'DESCRIBE', 'DESC', 'EXPLAIN', 'WITH'))
# A read that holds one of these words takes locks, writes, or depends on its connection.
_WRITE_WORDS: Final = frozenset(
    (
        'INTO',
        'UPDATE',
        'DELETE',
        'INSERT',
        'ANALYZE',
        'LOCK',
        'GET_LOCK',
        'RELEASE_LOCK',
        'RELEASE_ALL_LOCKS',
        'LAST_INSERT_ID',
        'ROW_COUNT',
        'FOUND_ROWS',
        ':=',
    )
)
# Statements that neither end a transaction implicitly nor leave state on a connection.
_TRANSACTIONAL_VERBS: Final = _READ_VERBS | {
    'INSERT',
    'UPDATE',
    'DELETE',
    'REPLACE',
    'SAVEPOINT',
    'RELEASE',
    'VALUES',
    'TABLE',
    'DO',
}
# These leave state on the connection, which the next session would find there.
_STATEFUL_VERBS: Final = frozenset(
    ('LOCK', 'UNLOCK', 'PREPARE', 'EXECUTE', 'DEALLOCATE', 'HANDLER', 'XA', 'RESET', 'KILL')
)
# Settings whose value has no effect on the answers to statements sent through the proxy.
_HARMLESS_SETTINGS: Final = frozenset(
    (
        'NAMES',
        'CHARACTER',
        'CHARSET',
        'CHARACTER_SET_RESULTS',
        'CHARACTER_SET_CLIENT',
        'CHARACTER_SET_CONNECTION',
        'NET_WRITE_TIMEOUT',
        'NET_READ_TIMEOUT',
        'WAIT_TIMEOUT',
    )
)
_AUTOCOMMIT_ON: Final = frozenset(('1', 'ON', 'TRUE'))
_AUTOCOMMIT_OFF: Final = frozenset(('0', 'OFF', 'FALSE'))
_SESSION_QUERY: Final = ('SHOW', 'BERGAMOTCART', 'SESSION')
_OPTIONAL_END_WORDS: Final = frozenset(('WORK', 'NO', 'CHAIN', 'AND', 'RELEASE'))


@enum.unique
class StatementKind(enum.StrEnum):
    """What a statement means to the proxy."""

    read = 'read'
    write = 'write'
    begin = 'begin'
    commit = 'commit'
    rollback = 'rollback'
    autocommit_on = 'autocommit_on'
    autocommit_off = 'autocommit_off'
    session_command = 'session_command'
    show_session = 'show_session'
    use = 'use'
    set_value = 'set_value'
    prepare = 'prepare'
    execute = 'execute'
    deallocate = 'deallocate'
    empty = 'empty'
    refused = 'refused'


@dataclass(frozen=True, slots=True)
class Statement:
    """A classified statement.

    :param transactional: whether it may run inside a transaction without ending it.
    :param detail: name of the group for ``use``, cause for ``refused``.
    :param name: name of the session value or of the prepared statement.
    :param text: value of the session value, shape of a statement to prepare, or arguments of
        one to execute.
    :param read_only: whether a transaction, or a statement to prepare, only reads.
    """

    kind: StatementKind
    transactional: bool = True
    detail: str = ''
    name: str = ''
    text: str = ''
    read_only: bool = False


@functools.lru_cache(maxsize=_CACHED_STATEMENTS)
def classify(sql: str) -> Statement:
    """Classify a statement; anything unknown counts as a write.

    :param sql: statement, with or without comments.
    :returns: its kind.
    """
    words: list[str] = []
    ended = False
    for match in _TOKEN.finditer(sql):
        token = match.lastgroup
        if token == 'executable':
            return _refuse('executable comments are not supported')
        if token == 'separator':
            ended = True
        elif token != 'comment':
            if ended:
                return _refuse('several statements in one request')
            words.append(match.group().upper())
    return _classify_words(words, sql)


def _refuse(detail: str) -> Statement:
    return Statement(StatementKind.refused, transactional=False, detail=detail)


def _classify_words(words: Sequence[str], sql: str) -> Statement:
    significant = [word for word in words if word != '(']
    if not significant:
        return Statement(StatementKind.empty)
    verb = significant[0]
    if verb in _STATEFUL_VERBS:
        return _refuse(f'{verb} keeps state on a connection')
    special = _SPECIAL.get(verb)
    if special is not None:
        return special(significant, sql)
    if tuple(significant) == _SESSION_QUERY:
        return Statement(StatementKind.show_session)
    transactional = verb in _TRANSACTIONAL_VERBS
    if verb in _READ_VERBS and _is_plain_read(words):
        return Statement(StatementKind.read)
    if 'TEMPORARY' in significant[:4]:
        return _refuse('temporary tables keep state on a connection')
    return Statement(StatementKind.write, transactional=transactional)


def _is_plain_read(words: Sequence[str]) -> bool:
    if not _WRITE_WORDS.isdisjoint(words):
        return False
    return not any(
        first == 'FOR' and second in {'UPDATE', 'SHARE'}
        for first, second in zip(words, words[1:], strict=False)
    )


def _classify_begin(words: Sequence[str], sql: str) -> Statement:
    if words[0] == 'START' and words[1:2] != ['TRANSACTION']:
        return _refuse(f'unknown statement {" ".join(words[:2])}')
    return Statement(StatementKind.begin)


def _classify_end(words: Sequence[str], sql: str) -> Statement:
    kind = StatementKind.commit if words[0] == 'COMMIT' else StatementKind.rollback
    rest = words[1:]
    if kind == StatementKind.rollback and 'TO' in rest:
        return Statement(StatementKind.write)
    if not _OPTIONAL_END_WORDS.issuperset(rest):
        return _refuse(f'unknown form of {words[0]}')
    if 'CHAIN' in rest and 'NO' not in rest:
        return _refuse(f'{words[0]} AND CHAIN is not supported')
    return Statement(kind)


def _classify_set(words: Sequence[str], sql: str) -> Statement:
    rest = [word for word in words[1:] if word not in {'SESSION', 'LOCAL', '@', '@@'}]
    name = rest[0].removeprefix('@@').removeprefix('SESSION.') if rest else ''
    if name == 'AUTOCOMMIT' and len(rest) == 3:
        setting = rest[2].strip('\'"')
        if setting in _AUTOCOMMIT_ON:
            return Statement(StatementKind.autocommit_on)
        if setting in _AUTOCOMMIT_OFF:
            return Statement(StatementKind.autocommit_off)
    if name in _HARMLESS_SETTINGS and ',' not in rest:
        return Statement(StatementKind.session_command)
    return _refuse(f'SET {name} would keep state on a connection')


def _classify_use(words: Sequence[str], sql: str) -> Statement:
    if len(words) != 2:
        return _refuse('USE needs one name')
    # The words are in capital letters; the name of a group keeps its own.
    name = words[1]
    start = sql.upper().rfind(name.upper())
    return Statement(StatementKind.use, detail=sql[start : start + len(name)].strip('`'))


_SPECIAL: Final = MappingProxyType(
    {
        'BEGIN': _classify_begin,
        'START': _classify_begin,
        'COMMIT': _classify_end,
        'ROLLBACK': _classify_end,
        'SET': _classify_set,
        'USE': _classify_use,
    }
)
