"""Conversion of results to the types of the MySQL protocol."""

import datetime
import decimal
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import Encoder, ResultColumn, ResultSet
from mysql_mimic.types import ColumnType, str_len

from bergamotcart.outcomes import RequestResult

_COLUMN_TYPES: Mapping[type, ColumnType] = MappingProxyType(
    {
        bool: ColumnType.LONGLONG,
        int: ColumnType.LONGLONG,
        float: ColumnType.DOUBLE,
        decimal.Decimal: ColumnType.NEWDECIMAL,
        str: ColumnType.VAR_STRING,
        bytes: ColumnType.BLOB,
        datetime.datetime: ColumnType.DATETIME,
        datetime.date: ColumnType.DATE,
        datetime.timedelta: ColumnType.TIME,
    },
)
_MAX_SIGNED_BIGINT: Final = 2**63 - 1
_SECONDS_PER_HOUR: Final = 3600
_SECONDS_PER_MINUTE: Final = 60
_MICROSECOND: Final = datetime.timedelta(microseconds=1)
_MICROSECONDS_PER_SECOND: Final = 1_000_000


def build_result_set(result: RequestResult, charset: CharacterSet) -> ResultSet:
    """Return the rows of a result with the MySQL type of each column.

    Column types are inferred from the values, since a result does not carry the column types
    of the target.

    :param result: a complete result with at least one column.
    :param charset: character set in which the caller reads strings.
    """
    columns = [
        _build_column(name, [row[index] for row in result.rows], charset)
        for index, name in enumerate(result.columns)
    ]
    return ResultSet(rows=result.rows, columns=columns)


def _build_column(name: str, cells: list[Any], charset: CharacterSet) -> ResultColumn:
    column_type = _infer_type(cells)
    if column_type == ColumnType.BLOB:
        return ResultColumn(name, column_type, character_set=CharacterSet.binary)
    if column_type == ColumnType.TIME:
        return ResultColumn(name, column_type, text_encoder=_encode_time)
    if charset == CharacterSet.utf8mb4:
        return ResultColumn(name, column_type)
    return ResultColumn(
        name,
        column_type,
        character_set=charset,
        text_encoder=_TEXT_ENCODERS.get(column_type),
        binary_encoder=_BINARY_ENCODERS.get(column_type),
    )


def _infer_type(cells: list[Any]) -> ColumnType:
    types = set(map(type, cells)) - {type(None)}
    if len(types) != 1:
        return ColumnType.DOUBLE if types == {int, float} else ColumnType.VAR_STRING
    column_type = _COLUMN_TYPES.get(types.pop(), ColumnType.VAR_STRING)
    if column_type == ColumnType.LONGLONG and _exceeds_signed_bigint(cells):
        return ColumnType.NEWDECIMAL
    return column_type


def _exceeds_signed_bigint(cells: list[Any]) -> bool:
    # The library's columns have no unsigned flag, so a caller would read a greater number as
    # negative.
    return any(cell is not None and cell > _MAX_SIGNED_BIGINT for cell in cells)


def _encode_time(column: ResultColumn, duration: datetime.timedelta) -> bytes:
    total_micros = abs(duration) // _MICROSECOND
    seconds, micros = divmod(total_micros, _MICROSECONDS_PER_SECOND)
    hours, remainder = divmod(seconds, _SECONDS_PER_HOUR)
    minutes, remainder = divmod(remainder, _SECONDS_PER_MINUTE)
    sign = '-' if duration < datetime.timedelta(0) else ''
    fraction = f'.{micros:06d}' if micros else ''
    return f'{sign}{hours:02d}:{minutes:02d}:{remainder:02d}{fraction}'.encode()


def _encode_text(column: ResultColumn, text: object) -> bytes:
    # A character that is missing in the caller's character set must not abort the response.
    return str(text).encode(column.codec, 'replace')


def _encode_binary(column: ResultColumn, text: object) -> bytes:
    return str_len(_encode_text(column, text))


_TEXT_ENCODERS: Mapping[ColumnType, Encoder] = MappingProxyType(
    {ColumnType.VAR_STRING: _encode_text},
)
_BINARY_ENCODERS: Mapping[ColumnType, Encoder] = MappingProxyType(
    {ColumnType.VAR_STRING: _encode_binary},
)
