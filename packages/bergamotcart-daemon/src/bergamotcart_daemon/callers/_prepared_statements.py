"""Inserts the parameters of prepared statements into their text.

``mysql_mimic`` inserts parameters without escaping them, so a quote in a parameter would end the
string literal. Therefore it is only used to decode the parameters.
"""

import io
import re
from typing import Any, Final

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import Capabilities
from pymysql.converters import escape_item

# Question marks inside quotes and comments are not parameter markers.
_TOKEN_PATTERN: Final = re.compile(
    r"""
    '(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`
    |/\*.*?\*/|--(?=\s|$)[^\n]*|\#[^\n]*
    |(?P<parameter>\?)
    """,
    re.VERBOSE | re.DOTALL,
)
# The statement identifier (4 bytes), flags (1) and iteration count (4) precede the parameters.
_EXECUTE_HEADER_BYTES: Final = 9
_BITS_PER_BYTE: Final = 8
_TYPE_BYTES: Final = 2
_CHARSET: Final = 'utf8mb4'


class StatementTemplate:
    """Text of a prepared statement, split at its parameter markers."""

    __slots__ = ('_parts', '_parameter_types')

    def __init__(self, sql: str) -> None:
        """Split the text at its parameter markers."""
        self._parts: list[str] = []
        self._parameter_types = b''
        start = 0
        for match in _TOKEN_PATTERN.finditer(sql):
            if match.lastgroup:
                self._parts.append(sql[start : match.start()])
                start = match.end()
        self._parts.append(sql[start:])

    @property
    def parameter_count(self) -> int:
        """Number of parameters."""
        return len(self._parts) - 1

    def bind(
        self,
        payload: bytes,
        charset: CharacterSet,
        long_data: dict[int, bytearray] | None,
    ) -> str:
        """Return the statement text with the parameters of one execution.

        :param payload: body of ``COM_STMT_EXECUTE`` without query attributes.
        :param charset: character set in which the caller sends strings.
        :param long_data: parameters that ``COM_STMT_SEND_LONG_DATA`` sent, by index.
        :raises MysqlError: if a parameter has a type that the library does not know.
        """
        if not self.parameter_count:
            return self._parts[0]
        reader = io.BytesIO(self._add_parameter_types(payload[_EXECUTE_HEADER_BYTES:]))
        parameters = packets._read_params(
            Capabilities(0),
            charset,
            reader,
            self.parameter_count,
            long_data,
        )
        texts = [escape_item(parameter, _CHARSET) for _, parameter in parameters]
        return ''.join(_interleave_texts(self._parts, texts))

    def _add_parameter_types(self, body: bytes) -> bytes:
        # Drivers send the parameter types only with the first execution, marked by a flag of 1
        # after the NULL bitmap. For later executions, the stored types are inserted.
        flag_offset = -(-self.parameter_count // _BITS_PER_BYTE)
        types_end = flag_offset + 1 + _TYPE_BYTES * self.parameter_count
        if body[flag_offset : flag_offset + 1] == b'\x01':
            self._parameter_types = body[flag_offset + 1 : types_end]
            return body
        return b''.join(
            (body[:flag_offset], b'\x01', self._parameter_types, body[flag_offset + 1 :])
        )


def _interleave_texts(parts: list[str], texts: list[Any]) -> list[str]:
    pairs = zip(parts, [*texts, ''], strict=True)
    return [text for pair in pairs for text in pair]
