"""Renders server responses as plain text."""

from collections.abc import Mapping, Sequence

import msgspec


def render_response(response: Mapping[str, object]) -> str:
    """Return a line for each plain field of a response, then a table for each list of records."""
    plain_lines: list[str] = []
    tables: list[str] = []
    for name, field_value in response.items():
        rows = _extract_rows(field_value)
        if rows:
            tables.append(f'\n{name}\n{render_table(rows)}')
        else:
            plain_lines.append(f'{name}: {_format_value(field_value)}')
    return '\n'.join(plain_lines + tables)


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Return the rows as aligned columns under their field names."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_format_value(row.get(name, '')) for name in names] for row in rows]
    lines = [names, *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align_cells(line, widths) for line in lines)


def _align_cells(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
    return f'  {"  ".join(cells)}'.rstrip()


def _extract_rows(field_value: object) -> list[dict[str, object]]:
    if isinstance(field_value, dict) and all(isinstance(row, dict) for row in field_value.values()):
        return [{'name': name, **row} for name, row in field_value.items()]
    if isinstance(field_value, list) and all(isinstance(row, dict) for row in field_value):
        return field_value
    return []


def _format_value(field_value: object) -> str:
    if field_value is None:
        return '-'
    if isinstance(field_value, str):
        return field_value
    return msgspec.json.encode(field_value).decode()
