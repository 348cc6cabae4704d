"""Errors of MySQL connections to targets."""

import asyncio
from types import MappingProxyType
from typing import Final

import pymysql
from pymysql.constants import CR

from bergamotcart.outcomes import ErrorKind, TargetError
from bergamotcart_daemon.connections import ConnectError, ReportedError

_CONNECTION_LOST_CODES: Final = frozenset((CR.CR_SERVER_LOST, CR.CR_SERVER_GONE_ERROR))
UNKNOWN_TABLE_CODE: Final = 1146
DUPLICATE_KEY_CODE: Final = 1062
# 1290 and 1836: an instance that became a replica refuses a write. 1213: deadlock.
_ERROR_KINDS: Final = MappingProxyType(
    {
        1290: ErrorKind.read_only,
        1836: ErrorKind.read_only,
        1213: ErrorKind.rolled_back,
    }
)


class MysqlError(ReportedError, pymysql.MySQLError):
    """Error packet of a target, as opposed to an error that the client library detects."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        """Store the fields of the packet."""
        kind = _ERROR_KINDS.get(code, ErrorKind.undone)
        super().__init__(TargetError(code, sqlstate, message, kind))


def build_connect_error(error: BaseException) -> ConnectError:
    """Convert an error that occurred while a connection was opened."""
    if isinstance(error, ReportedError):
        return ConnectError(refused=False, error=error.error)
    return ConnectError(refused=is_refusal(error))


def is_refusal(error: BaseException) -> bool:
    """Return whether a connection was refused or reset, rather than unresponsive.

    :param error: exception of a read, a write or a connection attempt.
    """
    if isinstance(error, pymysql.OperationalError):
        code = error.args[0] if error.args else None
        return code in _CONNECTION_LOST_CODES or isinstance(error.__cause__, ConnectionError)
    if isinstance(error, (TimeoutError, asyncio.CancelledError)):
        return False
    # aiomysql raises InterfaceError for a connection that the peer has closed.
    return isinstance(error, (ConnectionError, EOFError, pymysql.InterfaceError))
