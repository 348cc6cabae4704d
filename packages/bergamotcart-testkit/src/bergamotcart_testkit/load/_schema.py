"""Tables and statements of the load."""

from collections.abc import Iterator
from typing import Final

TABLES: Final = (
    'CREATE TABLE IF NOT EXISTS registers (id VARCHAR(64) PRIMARY KEY, version BIGINT)',
    'CREATE TABLE IF NOT EXISTS orders (request VARCHAR(64), session VARCHAR(64))',
    'CREATE TABLE IF NOT EXISTS left_halves (id VARCHAR(64) PRIMARY KEY, mark VARCHAR(64))',
    'CREATE TABLE IF NOT EXISTS right_halves (id VARCHAR(64) PRIMARY KEY, mark VARCHAR(64))',
)


def rows_of_session(session: str) -> Iterator[str]:
    """Yield the statements that create the rows of a session."""
    yield f"INSERT IGNORE INTO registers (id, version) VALUES ('{session}', 0)"
    yield f"INSERT IGNORE INTO left_halves (id, mark) VALUES ('{session}', '')"
    yield f"INSERT IGNORE INTO right_halves (id, mark) VALUES ('{session}', '')"


def write_register(key: str, version: int, mark: str) -> str:
    """Return a write that never lowers a version, even if it runs late."""
    return (
        f"UPDATE registers SET version = {version} WHERE id = '{key}' "
        f"AND version < {version} AND '{mark}' <> ''"
    )


def read_register(key: str, mark: str) -> str:
    """Return a read whose answer carries its own mark."""
    return f"SELECT '{mark}', id, version FROM registers WHERE id = '{key}'"


def insert_order(request: str, session: str) -> str:
    """Return a write that shows as two rows when it runs twice."""
    return f"INSERT INTO orders (request, session) VALUES ('{request}', '{session}')"


def write_half(side: str, key: str, mark: str) -> str:
    """Return one of the two writes of a transaction."""
    return f"UPDATE {side}_halves SET mark = '{mark}' WHERE id = '{key}'"


def read_pair(key: str, mark: str) -> str:
    """Return a read of both halves, which must always agree."""
    return (
        f"SELECT '{mark}', left_halves.mark, right_halves.mark FROM left_halves "
        f"JOIN right_halves ON left_halves.id = right_halves.id WHERE left_halves.id = '{key}'"
    )
