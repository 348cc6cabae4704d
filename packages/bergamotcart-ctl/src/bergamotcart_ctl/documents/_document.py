"""Reads, writes and compares operator documents in YAML files."""

import difflib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml


class FileError(ValueError):
    """A file cannot be read or written, or a file or a document from the server is malformed."""


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """One section of the document; ``body`` is its YAML text.

    :param version: version on the server, or 0 if the server does not have the section.
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

    A body is either nested YAML or a text block; only a text block keeps its comments.

    :raises FileError: if the file is missing or malformed.
    """
    try:
        return parse_document(path.read_text())
    except OSError as error:
        raise FileError(f'cannot read {path}: {error.strerror}') from error
    except (yaml.YAMLError, ValueError) as error:
        raise FileError(f'malformed document {path}: {error}') from error


def parse_document(text: str) -> dict[str, Section]:
    """Parse the text of a document file.

    :raises ValueError: if its structure is wrong; ``yaml.YAMLError`` if it is malformed.
    """
    document = msgspec.convert(yaml.safe_load(text), _FileDocument)
    return {
        name: Section(kind=section.kind, body=_dump_body(section.body))
        for name, section in document.sections.items()
    }


def dump_document(sections: Mapping[str, Section]) -> str:
    """Return the YAML text of a document file with these sections."""
    bodies = {
        name: {'kind': section.kind, 'body': _load_body(section.body)}
        for name, section in sorted(sections.items())
    }
    return yaml.dump({'sections': bodies}, Dumper=_BlockDumper, sort_keys=False)


def parse_sections(response: Mapping[str, object]) -> dict[str, Section]:
    """Parse the sections of a response to ``GET /v1/document``.

    :raises FileError: if the response is malformed.
    """
    rows = response.get('sections')
    items = rows.items() if isinstance(rows, dict) else _pair_rows_with_names(rows)
    try:
        return {name: msgspec.convert(row, Section) for name, row in items}
    except msgspec.ValidationError as error:
        raise FileError(f'malformed section in the server response: {error}') from error


def find_changed_sections(
    sections: Mapping[str, Section],
    base: Mapping[str, Section],
) -> dict[str, Section]:
    """Return the sections that are not in the base copy or whose content differs from it."""
    return {
        name: section
        for name, section in sections.items()
        if name not in base or not _has_same_content(section, base[name])
    }


def diff_section(old: Section | None, new: Section | None, name: str) -> str:
    """Return a unified diff of a section, or an empty string if its content is the same."""
    if old is not None and new is not None and _has_same_content(old, new):
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
    """YAML dumper that writes multi-line strings as literal blocks."""


def _represent_text(dumper: yaml.SafeDumper, text: str) -> yaml.ScalarNode:
    style = '|' if '\n' in text else None
    return dumper.represent_scalar('tag:yaml.org,2002:str', text, style=style)


_BlockDumper.add_representer(str, _represent_text)


def _pair_rows_with_names(rows: object) -> list[tuple[str, object]]:
    if not isinstance(rows, list):
        raise FileError(f'server response has no sections: got {rows!r}')
    return [(str(row.get('name')), row) for row in rows]


def _dump_body(body: object) -> str:
    if isinstance(body, str):
        return body
    return yaml.safe_dump(body, sort_keys=False)


def _load_body(text: str) -> object:
    parsed = yaml.safe_load(text)
    return parsed if _dump_body(parsed) == text else text


def _has_same_content(left: Section, right: Section) -> bool:
    return left.kind == right.kind and _parse_body(left.body) == _parse_body(right.body)


def _parse_body(text: str) -> object:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError:
        return text
