"""Prepared statements as texts with their parameters filled in.

The library fills in parameters without escaping them, so that a quote in a parameter would
end its text. Here the library only decodes the parameters.
"""

import io
import re
from typing import Any, Final

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import Capabilities
from pymysql.converters import escape_item

# Question marks inside quoted text and comments are no parameters.
_TOKEN: Final = re.compile(
    r"""
    '(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`
    |/\*.*?\*/|--(?=\s|$)[^\n]*|\#[^\n]*
    |(?P<parameter>\?)
    """,
    re.VERBOSE | re.DOTALL,
)
# Statement identifier, flags and iteration count come before the parameters.
_HEAD_BYTES: Final = 9
_BITS_PER_BYTE: Final = 8
_TYPE_BYTES: Final = 2
_CHARSET: Final = 'utf8mb4'


class StatementTemplate:
    """A prepared statement, split at its parameters."""

    __slots__ = ('_parts', '_types')

    def __init__(self, sql: str) -> None:
        """Find the parameters."""
        self._parts: list[str] = []
        self._types = b''
        start = 0
        for match in _TOKEN.finditer(sql):
            if match.lastgroup:
                self._parts.append(sql[start : match.start()])
                start = match.end()
        self._parts.append(sql[start:])

    @property
    def parameters(self) -> int:
        """Number of parameters."""
        return len(self._parts) - 1

    def bind(
        self,
        payload: bytes,
        charset: CharacterSet,
        long_data: dict[int, bytearray] | None,
    ) -> str:
        """Return the text of one execution.

        :param payload: body of ``COM_STMT_EXECUTE``, of a caller without query attributes.
        :param long_data: parameters that were sent before by their index.
        :raises MysqlError: if a parameter has a type that the library does not know.
        """
        if not self.parameters:
            return self._parts[0]
        reader = io.BytesIO(self._complete(payload[_HEAD_BYTES:]))
        parameters = packets._read_params(
            Capabilities(0),
            charset,
            reader,
            self.parameters,
            long_data,
        )
        texts = [escape_item(parameter, _CHARSET) for _, parameter in parameters]
        return ''.join(_interleave(self._parts, texts))

    def _complete(self, body: bytes) -> bytes:
        # A driver sends the types of the parameters only with the first execution.
        flag = -(-self.parameters // _BITS_PER_BYTE)
        types_end = flag + 1 + _TYPE_BYTES * self.parameters
        if body[flag : flag + 1] == b'\x01':
            self._types = body[flag + 1 : types_end]
            return body
        return b''.join((body[:flag], b'\x01', self._types, body[flag + 1 :]))


def _interleave(parts: list[str], texts: list[Any]) -> list[str]:
    pairs = zip(parts, [*texts, ''], strict=True)
    return [text for pair in pairs for text in pair]
