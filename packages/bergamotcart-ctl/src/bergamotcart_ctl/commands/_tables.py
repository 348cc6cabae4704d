"""Plain text for answers of the server."""

from collections.abc import Mapping, Sequence

import msgspec


def render(answer: Mapping[str, object]) -> str:
    """Return the figures of an answer, then a table for each list in it."""
    plain: list[str] = []
    tables: list[str] = []
    for name, entry in answer.items():
        rows = _rows(entry)
        if rows:
            tables.append(f'\n{name}\n{render_table(rows)}')
        else:
            plain.append(f'{name}: {_show(entry)}')
    return '\n'.join(plain + tables)


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Return aligned columns under a heading."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_show(row.get(name, '')) for name in names] for row in rows]
    lines = [names, *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
    return f'  {"  ".join(cells)}'.rstrip()


def _rows(entry: object) -> list[dict[str, object]]:
    if isinstance(entry, dict) and all(isinstance(row, dict) for row in entry.values()):
        return [{'name': name, **row} for name, row in entry.items()]
    if isinstance(entry, list) and all(isinstance(row, dict) for row in entry):
        return entry
    return []


def _show(entry: object) -> str:
    if entry is None:
        return '-'
    if isinstance(entry, str):
        return entry
    return msgspec.json.encode(entry).decode()
