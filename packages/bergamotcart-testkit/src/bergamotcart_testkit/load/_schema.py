"""Tables and SQL statements of the load."""

from collections.abc import Iterator
from typing import Final

TABLES: Final = (
    'CREATE TABLE IF NOT EXISTS registers (id VARCHAR(64) PRIMARY KEY, version BIGINT)',
    'CREATE TABLE IF NOT EXISTS orders (request VARCHAR(64), session VARCHAR(64))',
    'CREATE TABLE IF NOT EXISTS left_halves (id VARCHAR(64) PRIMARY KEY, mark VARCHAR(64))',
    'CREATE TABLE IF NOT EXISTS right_halves (id VARCHAR(64) PRIMARY KEY, mark VARCHAR(64))',
)


def session_row_inserts(session: str) -> Iterator[str]:
    """Yield the INSERT statements for the rows of a session."""
    yield f"INSERT IGNORE INTO registers (id, version) VALUES ('{session}', 0)"
    yield f"INSERT IGNORE INTO left_halves (id, mark) VALUES ('{session}', '')"
    yield f"INSERT IGNORE INTO right_halves (id, mark) VALUES ('{session}', '')"


def register_update(key: str, version: int, mark: str) -> str:
    """Return an UPDATE that never lowers the version, even if it is executed out of order."""
    return (
        f"UPDATE registers SET version = {version} WHERE id = '{key}' "
        f"AND version < {version} AND '{mark}' <> ''"
    )


def register_select(key: str, mark: str) -> str:
    """Return a SELECT whose result includes the mark of the request."""
    return f"SELECT '{mark}', id, version FROM registers WHERE id = '{key}'"


def order_insert(request: str, session: str) -> str:
    """Return an INSERT that leaves two rows if it runs twice."""
    return f"INSERT INTO orders (request, session) VALUES ('{request}', '{session}')"


def half_update(side: str, key: str, mark: str) -> str:
    """Return one of the two UPDATE statements of a transaction."""
    return f"UPDATE {side}_halves SET mark = '{mark}' WHERE id = '{key}'"


def pair_select(key: str, mark: str) -> str:
    """Return a SELECT of both halves of a pair, which must always be equal."""
    return (
        f"SELECT '{mark}', left_halves.mark, right_halves.mark FROM left_halves "
        f"JOIN right_halves ON left_halves.id = right_halves.id WHERE left_halves.id = '{key}'"
    )
