"""SQL statements for the ledger table, which records the outcomes of requests by identifier."""

import time
from typing import Final

from bergamotcart.entry import LedgerKey, LedgerRecord
from bergamotcart.outcomes import RequestResult
from bergamotcart_daemon.targets._mysql_connection import MysqlConnection

# Binary columns compare byte by byte. With a text collation, two identifiers that differ
# only in case or trailing spaces would be equal.
CREATE_TABLE_STATEMENT: Final = (
    'CREATE TABLE IF NOT EXISTS bergamotcart_ledger ('
    'caller VARBINARY(256) NOT NULL, '
    'request_id VARBINARY(256) NOT NULL, '
    'fingerprint VARCHAR(128) NOT NULL, '
    'affected_rows BIGINT NOT NULL, '
    'last_insert_id BIGINT NOT NULL, '
    'issued_at_ms BIGINT NULL, '
    'recorded_at_ms BIGINT NOT NULL, '
    'PRIMARY KEY (caller, request_id))'
)
_MS_PER_SECOND: Final = 1000
_NS_PER_MS: Final = 1_000_000


class LedgerStatements:
    """Builds the ledger statements for one request identifier."""

    __slots__ = ('_connection', '_key')

    def __init__(self, connection: MysqlConnection, key: LedgerKey) -> None:
        """Store the key and the connection, which escapes values."""
        self._connection = connection
        self._key = key

    def build_insert(self) -> str:
        """Return the statement that inserts a row for the identifier, without an outcome yet."""
        issued_at = 'NULL' if self._key.issued_at_ms is None else str(self._key.issued_at_ms)
        quote = self._connection.escape
        return (
            'INSERT INTO bergamotcart_ledger (caller, request_id, fingerprint, affected_rows, '
            'last_insert_id, issued_at_ms, recorded_at_ms) VALUES '
            f'({quote(self._key.caller)}, {quote(self._key.request_id)}, '
            f'{quote(self._key.fingerprint)}, 0, 0, {issued_at}, {_now_ms()})'
        )

    def build_update(self, result: RequestResult) -> str:
        """Return the statement that records the outcome.

        :param result: result of the request.
        """
        return (
            f'UPDATE bergamotcart_ledger SET affected_rows = {result.affected_rows}, '
            f'last_insert_id = {result.last_insert_id}, recorded_at_ms = {_now_ms()} '
            f'WHERE {self._build_condition()}'
        )

    def build_select(self) -> str:
        """Return the statement that reads the recorded outcome of an earlier execution."""
        return (
            'SELECT fingerprint, affected_rows, last_insert_id FROM bergamotcart_ledger '
            f'WHERE {self._build_condition()}'
        )

    def _build_condition(self) -> str:
        quote = self._connection.escape
        return f'caller = {quote(self._key.caller)} AND request_id = {quote(self._key.request_id)}'


def build_prune_statement(retention_s: float) -> str:
    """Return the statement that deletes expired rows.

    :param retention_s: age, in seconds, from which an identifier is refused. Rows are kept for
        twice this time, so that an entry whose clock is behind does not accept an identifier
        whose row is already deleted.
    """
    limit_ms = _now_ms() - round(2 * retention_s * _MS_PER_SECOND)
    return (
        f'DELETE FROM bergamotcart_ledger WHERE issued_at_ms < {limit_ms} '
        f'AND recorded_at_ms < {limit_ms}'
    )


def parse_record(result: RequestResult) -> LedgerRecord | None:
    """Parse the result of the statement of ``build_select``.

    :returns: the record, or ``None`` if the row no longer exists.
    """
    if not result.rows:
        return None
    fingerprint, affected_rows, last_insert_id = result.rows[0]
    text = fingerprint.decode() if isinstance(fingerprint, bytes) else str(fingerprint)
    return LedgerRecord(text, int(affected_rows), int(last_insert_id))


def _now_ms() -> int:
    return time.time_ns() // _NS_PER_MS
