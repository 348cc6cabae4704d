"""Classification of SQL text by its words, without a complete parser."""

import enum
import functools
import re
from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

import msgspec

_CACHE_SIZE: Final = 4096
# 4096 statements of 1 MiB would take all the memory of a small process.
_MAX_CACHED_CHARS: Final = 2048

# Quoted text and comments come first, so that words and semicolons inside them are ignored.
_TOKEN_PATTERN: Final = re.compile(
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
# A statement with a read verb and one of these words takes locks, writes, or depends on the state
# of its connection.
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
# Verbs of statements that neither commit a transaction implicitly nor leave state on a connection.
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
# Verbs of statements that leave state on the connection, which the next session would inherit.
_STATEFUL_VERBS: Final = frozenset(
    ('LOCK', 'UNLOCK', 'PREPARE', 'EXECUTE', 'DEALLOCATE', 'HANDLER', 'XA', 'RESET', 'KILL')
)
# Session settings whose value does not change the answers to statements sent through the proxy.
_ACCEPTED_SETTINGS: Final = frozenset(
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
_SHOW_SESSION_WORDS: Final = ('SHOW', 'BERGAMOTCART', 'SESSION')
_TRANSACTION_END_OPTIONS: Final = frozenset(('WORK', 'NO', 'CHAIN', 'AND', 'RELEASE'))


@enum.unique
class StatementKind(enum.StrEnum):
    """Kind of a statement, which decides how the proxy handles it."""

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


class Statement(msgspec.Struct, frozen=True):
    """A classified statement.

    :param transactional: whether it may run inside a transaction without ending it.
    :param detail: name of the group for ``use``, reason for ``refused``.
    :param name: name of the session setting or of the prepared statement.
    :param text: value of the session setting, text of a statement to prepare, or arguments of a
        statement to execute.
    :param read_only: whether a transaction, or a statement to prepare, only reads.
    """

    kind: StatementKind
    transactional: bool = True
    detail: str = ''
    name: str = ''
    text: str = ''
    read_only: bool = False


def classify(sql: str) -> Statement:
    """Classify a statement; a statement with an unknown verb counts as a write.

    :param sql: text of the statement, with or without comments.
    :returns: the classified statement.
    """
    return _classify_cached(sql) if len(sql) <= _MAX_CACHED_CHARS else _classify(sql)


def _classify(sql: str) -> Statement:
    words: list[str] = []
    after_separator = False
    for match in _TOKEN_PATTERN.finditer(sql):
        token = match.lastgroup
        if token == 'executable':
            return _refuse_statement('executable comments are not supported')
        if token == 'separator':
            after_separator = True
        elif token != 'comment':
            if after_separator:
                return _refuse_statement('several statements in one request are not supported')
            words.append(match.group().upper())
    return _classify_words(words, sql)


_classify_cached = functools.lru_cache(maxsize=_CACHE_SIZE)(_classify)


def _refuse_statement(reason: str) -> Statement:
    return Statement(StatementKind.refused, transactional=False, detail=reason)


def _classify_words(words: Sequence[str], sql: str) -> Statement:
    significant = [word for word in words if word != '(']
    if not significant:
        return Statement(StatementKind.empty)
    verb = significant[0]
    if verb in _STATEFUL_VERBS:
        return _refuse_statement(
            f'{verb} is not supported because it leaves state on the connection'
        )
    classifier = _CLASSIFIERS_BY_VERB.get(verb)
    if classifier is not None:
        return classifier(significant, sql)
    if tuple(significant) == _SHOW_SESSION_WORDS:
        return Statement(StatementKind.show_session)
    transactional = verb in _TRANSACTIONAL_VERBS
    if verb in _READ_VERBS and _is_plain_read(words):
        return Statement(StatementKind.read)
    if 'TEMPORARY' in significant[:4]:
        return _refuse_statement(
            'temporary tables are not supported because they leave state on the connection'
        )
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
        return _refuse_statement(f'unknown statement {" ".join(words[:2])}')
    return Statement(StatementKind.begin)


def _classify_transaction_end(words: Sequence[str], sql: str) -> Statement:
    kind = StatementKind.commit if words[0] == 'COMMIT' else StatementKind.rollback
    options = words[1:]
    if kind == StatementKind.rollback and 'TO' in options:
        return Statement(StatementKind.write)
    if not _TRANSACTION_END_OPTIONS.issuperset(options):
        return _refuse_statement(
            f'{words[0]} with the options {" ".join(options)[:32]!r} is not supported'
        )
    if 'CHAIN' in options and 'NO' not in options:
        return _refuse_statement(f'{words[0]} AND CHAIN is not supported')
    return Statement(kind)


def _classify_set(words: Sequence[str], sql: str) -> Statement:
    options = [word for word in words[1:] if word not in {'SESSION', 'LOCAL', '@', '@@'}]
    name = options[0].removeprefix('@@').removeprefix('SESSION.') if options else ''
    if name == 'AUTOCOMMIT' and len(options) == 3:
        setting = options[2].strip('\'"')
        if setting in _AUTOCOMMIT_ON:
            return Statement(StatementKind.autocommit_on)
        if setting in _AUTOCOMMIT_OFF:
            return Statement(StatementKind.autocommit_off)
    if name in _ACCEPTED_SETTINGS and ',' not in options:
        return Statement(StatementKind.session_command)
    return _refuse_statement(
        f'SET {name} is not supported because it leaves state on the connection'
    )


def _classify_use(words: Sequence[str], sql: str) -> Statement:
    if len(words) != 2:
        return _refuse_statement(f'USE needs exactly one name, not {len(words) - 1}')
    # The words are in upper case, so the name of the group is taken from the text of the statement.
    name = words[1]
    start = sql.upper().rfind(name.upper())
    return Statement(StatementKind.use, detail=sql[start : start + len(name)].strip('`'))


_CLASSIFIERS_BY_VERB: Final = MappingProxyType(
    {
        'BEGIN': _classify_begin,
        'START': _classify_begin,
        'COMMIT': _classify_transaction_end,
        'ROLLBACK': _classify_transaction_end,
        'SET': _classify_set,
        'USE': _classify_use,
    }
)
