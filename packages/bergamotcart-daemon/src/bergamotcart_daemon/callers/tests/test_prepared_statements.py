"""Tests that the parameters of prepared statements are inserted safely."""

import struct

import pytest
from mysql_mimic.charset import CharacterSet

from bergamotcart_daemon.callers._prepared_statements import StatementTemplate

_EXECUTE_HEADER = b'\x01\x00\x00\x00\x00\x01\x00\x00\x00'
_STRING = 0xFD
_LONGLONG = 8


def _build_payload(*parameters: str | int | None, with_types: bool = True) -> bytes:
    null_bitmap = sum(1 << index for index, parameter in enumerate(parameters) if parameter is None)
    types = [_LONGLONG if isinstance(parameter, int) else _STRING for parameter in parameters]
    chunks = [_EXECUTE_HEADER, bytes([null_bitmap, int(with_types)])]
    if with_types:
        chunks.extend(bytes([kind, 0]) for kind in types)
    chunks.extend(_encode_parameter(parameter) for parameter in parameters if parameter is not None)
    return b''.join(chunks)


def _encode_parameter(parameter: str | int) -> bytes:
    if isinstance(parameter, int):
        return struct.pack('<q', parameter)
    encoded = parameter.encode()
    return bytes([len(encoded), *encoded])


@pytest.mark.parametrize(
    ('sql', 'parameters', 'expected'),
    [
        ('SELECT ?', ("it's",), r"SELECT 'it\'s'"),
        ('SELECT ?, ?', ('a?b', 7), "SELECT 'a?b', 7"),
        ('SELECT ?', (r'\1 \n',), r"SELECT '\\1 \\n'"),
        ("SELECT '?', `?` /* ? */ = ?", (None,), "SELECT '?', `?` /* ? */ = NULL"),
        ("/*request='r?'*/ INSERT ? -- ?", (5,), "/*request='r?'*/ INSERT 5 -- ?"),
    ],
)
def test_bind_escapes_parameters(sql, parameters, expected):
    """Quotes in parameters are escaped, and markers in quotes and comments are ignored.

    An unescaped quote would let a parameter change the statement.
    """
    template = StatementTemplate(sql)
    assert template.parameter_count == len(parameters)
    assert template.bind(_build_payload(*parameters), CharacterSet.utf8mb4, None) == expected


def test_bind_reuses_parameter_types():
    """Parameter types of the first execution apply to later ones, which come without types."""
    template = StatementTemplate('SELECT ?, ?')
    template.bind(_build_payload('a', 1), CharacterSet.utf8mb4, None)
    later = _build_payload('b', 2, with_types=False)
    assert template.bind(later, CharacterSet.utf8mb4, None) == "SELECT 'b', 2"
