"""Checks of files in the formats that operators write."""

import importlib
import json
from pathlib import Path
from typing import Final

import msgspec
import yaml

from bergamotcart.documents import CheckedDocument, Problem, check_sections
from bergamotcart.messages import SectionRow
from bergamotcart_ctl.documents._document import FileError, Section, parse_document
from bergamotcart_ctl.documents._source_lines import SourceLines

# The platform package reads the operator's configuration of the platform. Neither the library nor
# this program depends on it, so it is used only where it is installed.
_PLATFORM_MODULE: Final = 'bergamotcart_platform.configuration_check'


class CheckedFile(msgspec.Struct, frozen=True):
    """Result of a check of one file.

    :param is_platform: whether the file has the platform's format.
    :param lines: lines to which the paths of problems point.
    """

    checked: CheckedDocument
    is_platform: bool
    lines: SourceLines


def check_file(path: Path, replication_lag_s: float | None = None) -> CheckedFile:
    """Check a document of the product in YAML, or a configuration of the platform in JSON.

    :param replication_lag_s: usual lag of replicas in seconds, or ``None`` if it is not known.
    :raises FileError: if the file cannot be read or its format cannot be checked here.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(f'cannot read {path}: {error}') from error
    lines = SourceLines(text)
    if is_platform_configuration(text):
        return CheckedFile(check_configuration(text, replication_lag_s), True, lines)
    try:
        sections = parse_document(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return CheckedFile(CheckedDocument({}, (_describe_malformed(error),)), False, lines)
    return CheckedFile(check_document(sections, replication_lag_s), False, lines)


def check_document(
    sections: dict[str, Section], replication_lag_s: float | None = None
) -> CheckedDocument:
    """Check the sections of a document."""
    rows = [
        SectionRow(name=name, kind=section.kind, version=section.version, body=section.body)
        for name, section in sections.items()
    ]
    return check_sections(rows, replication_lag_s)


def check_configuration(text: str, replication_lag_s: float | None = None) -> CheckedDocument:
    """Check a configuration of the platform.

    :raises FileError: if the package of the platform is not installed.
    """
    try:
        module = importlib.import_module(_PLATFORM_MODULE)
    except ImportError as error:
        raise FileError(
            'the package bergamotcart-platform, which reads this format, is missing'
        ) from error
    return module.check_configuration(text.encode(), replication_lag_s=replication_lag_s)


def is_platform_configuration(text: str) -> bool:
    """Tell whether a text has the format of the platform: a JSON object without sections."""
    if not text.lstrip().startswith('{'):
        return False
    try:
        return 'sections' not in json.loads(text)
    except (ValueError, RecursionError):
        return True


def _describe_malformed(error: Exception) -> Problem:
    """Return the problem without the text around it, which may hold keys."""
    if isinstance(error, yaml.MarkedYAMLError) and error.problem_mark is not None:
        line = error.problem_mark.line + 1
        return Problem('', f'malformed YAML at line {line}: {error.problem}')
    if isinstance(error, msgspec.ValidationError):
        message, _, path = str(error).partition(' - at `$')
        return Problem(path.rstrip('`').removeprefix('.'), message)
    return Problem('', f'malformed: {type(error).__name__}')
