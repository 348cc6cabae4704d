"""The operator document as a YAML file."""

import difflib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml


class FileError(ValueError):
    """A file is missing or malformed."""


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """One section; ``body`` is its YAML text.

    :param version: version at the server, or 0 for one that the server does not have.
    """

    kind: str
    body: str
    version: int = 0


class _FileSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    body: Any


class _FileDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    sections: dict[str, _FileSection]


def load_document(path: Path) -> dict[str, Section]:
    """Read a document file.

    A body is either YAML in place or a text block, which keeps its comments.

    :raises FileError: if the file is missing or malformed.
    """
    try:
        document = msgspec.convert(yaml.safe_load(path.read_text()), _FileDocument)
    except OSError as error:
        raise FileError(f'{path}: {error.strerror}') from error
    except (yaml.YAMLError, ValueError) as error:
        raise FileError(f'{path}: {error}') from error
    return {
        name: Section(kind=section.kind, body=_write_body(section.body))
        for name, section in document.sections.items()
    }


def dump_document(sections: Mapping[str, Section]) -> str:
    """Return the text of a document file."""
    bodies = {
        name: {'kind': section.kind, 'body': _read_body(section.body)}
        for name, section in sorted(sections.items())
    }
    return yaml.dump({'sections': bodies}, Dumper=_BlockDumper, sort_keys=False)


def parse_sections(answer: Mapping[str, object]) -> dict[str, Section]:
    """Read the sections of an answer of ``GET /v1/document``.

    :raises FileError: if the answer has another form.
    """
    rows = answer.get('sections')
    items = rows.items() if isinstance(rows, dict) else _name_rows(rows)
    try:
        return {name: msgspec.convert(row, Section) for name, row in items}
    except msgspec.ValidationError as error:
        raise FileError(f'unexpected answer of the server: {error}') from error


def find_changed(
    sections: Mapping[str, Section],
    base: Mapping[str, Section],
) -> dict[str, Section]:
    """Return the sections whose content differs from the base copy."""
    return {
        name: section
        for name, section in sections.items()
        if name not in base or not _is_same(section, base[name])
    }


def compare(old: Section | None, new: Section | None, name: str) -> str:
    """Return a unified diff of a section, or an empty text if its content is the same."""
    if old is not None and new is not None and _is_same(old, new):
        return ''
    lines = difflib.unified_diff(
        old.body.splitlines() if old else [],
        new.body.splitlines() if new else [],
        fromfile=f'{name} (in force)',
        tofile=f'{name} (file)',
        lineterm='',
    )
    return '\n'.join(lines)


class _BlockDumper(yaml.SafeDumper):
    """Writes texts of several lines as blocks."""


def _represent_text(dumper: yaml.SafeDumper, text: str) -> yaml.ScalarNode:
    style = '|' if '\n' in text else None
    return dumper.represent_scalar('tag:yaml.org,2002:str', text, style=style)


_BlockDumper.add_representer(str, _represent_text)


def _name_rows(rows: object) -> list[tuple[str, object]]:
    if not isinstance(rows, list):
        raise FileError('unexpected answer of the server: no sections')
    return [(str(row.get('name')), row) for row in rows]


def _write_body(body: object) -> str:
    if isinstance(body, str):
        return body
    return yaml.safe_dump(body, sort_keys=False)


def _read_body(text: str) -> object:
    parsed = yaml.safe_load(text)
    return parsed if _write_body(parsed) == text else text


def _is_same(left: Section, right: Section) -> bool:
    return left.kind == right.kind and _parse(left.body) == _parse(right.body)


def _parse(text: str) -> object:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError:
        return text
