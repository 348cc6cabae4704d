"""MySQL error codes of a stand-in target, and translation of SQLite errors."""

import re
import sqlite3
from types import MappingProxyType
from typing import Final

from mysql_mimic.errors import MysqlError

TOO_MANY_CONNECTIONS: Final = 1040
DUPLICATE_KEY: Final = 1062
UNKNOWN_TABLE: Final = 1146
READ_ONLY: Final = 1290
LOCK_WAIT_TIMEOUT: Final = 1205
TRANSACTION_ROLLED_BACK: Final = 1213
INTERRUPTED: Final = 3024
SYNTAX: Final = 1064

_SQLSTATES: Final = MappingProxyType(
    {
        TOO_MANY_CONNECTIONS: '08004',
        1045: '28000',
        1048: '23000',
        1050: '42S01',
        1054: '42S22',
        DUPLICATE_KEY: '23000',
        SYNTAX: '42000',
        UNKNOWN_TABLE: '42S02',
        TRANSACTION_ROLLED_BACK: '40001',
    }
)
_TRANSLATIONS: Final = (
    (re.compile('UNIQUE constraint failed: (.*)'), DUPLICATE_KEY, "Duplicate entry for key '{0}'"),
    (re.compile('NOT NULL constraint failed: (.*)'), 1048, "Column '{0}' cannot be null"),
    (re.compile('no such table: (.*)'), UNKNOWN_TABLE, "Table '{0}' doesn't exist"),
    (re.compile('table (.*) already exists'), 1050, "Table '{0}' already exists"),
    (re.compile('no such column: (.*)'), 1054, "Unknown column '{0}'"),
    (
        re.compile('(interrupted)'),
        INTERRUPTED,
        'Query execution was {0}, maximum execution time exceeded',
    ),
)


def sqlstate(code: int) -> str:
    """Return the five-character SQLSTATE of an error number."""
    return _SQLSTATES.get(code, 'HY000')


def read_only_error() -> MysqlError:
    """Return the error for a write on an instance that is not the primary."""
    message = 'The MySQL server is running with the --read-only option'
    return MysqlError(message, code=READ_ONLY)


def translate_error(error: sqlite3.Error) -> MysqlError:
    """Return the MySQL error that corresponds to an SQLite error."""
    text = str(error)
    for pattern, code, message in _TRANSLATIONS:
        match = pattern.match(text)
        if match:
            return MysqlError(message.format(match.group(1)), code=code)
    return MysqlError(text, code=SYNTAX)
