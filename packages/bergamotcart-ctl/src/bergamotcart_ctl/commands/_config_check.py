"""The ``config check`` command."""

import asyncio
import math
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType
from typing import ClassVar, Final

import msgspec
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option

from bergamotcart.documents import (
    ChangeKind,
    CheckedDocument,
    Difference,
    Problem,
    compare_documents,
)
from bergamotcart_ctl.client import ControlClient, RefusedError, UnreachableError
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    UsageError,
    build_common_options,
    describe_refusal,
    report_error,
    write_error,
    write_output,
)
from bergamotcart_ctl.documents import (
    CheckedFile,
    FileError,
    check_configuration,
    check_document,
    check_file,
    parse_sections,
)

_MS_PER_S: Final = 1000
_ERROR: Final = 'error'
_WARNING: Final = 'warning'
_SIGNS: Final = MappingProxyType(
    {ChangeKind.added: '+', ChangeKind.removed: '-', ChangeKind.changed: '~'}
)


class _Finding(msgspec.Struct, frozen=True):
    """A problem of the file.

    :param line: line of the file from 1, if it is known.
    """

    severity: str
    line: int | None
    path: str
    message: str


class _Report(msgspec.Struct, frozen=True):
    """Result of the command.

    :param compared_with: what the file was compared with; empty if with nothing.
    """

    file: str
    findings: tuple[_Finding, ...]
    compared_with: str = ''
    differences: tuple[Difference, ...] = ()


class CheckCommand(ControlCommand):
    """Checks a configuration before it is sent."""

    name = 'config check'
    description = (
        'Check FILE as control does, and show what differs from the version in force. '
        'Exit status: 0 no errors, 1 errors (with --strict also warnings), 2 wrong usage, '
        '3 no answer from control.'
    )
    arguments: ClassVar = [
        argument(
            'file', 'YAML document with all sections, or a JSON configuration of the platform.'
        )
    ]
    options: ClassVar = [
        option('against', None, 'Compare with this file, not with control.', flag=False),
        option('json', None, 'Print the result as JSON.'),
        option('strict', None, 'Exit with 1 if there are warnings.'),
        option(
            'replication-lag-ms',
            None,
            'Usual lag of replicas, to find ages below it.',
            flag=False,
        ),
        *build_common_options(),
    ]

    def handle(self) -> int:
        """Run the command; report its errors and return the matching exit status."""
        try:
            checked = check_file(Path(self.argument('file')), self._read_lag_s())
            return self._report_check(checked)
        except (UsageError, FileError) as error:
            return report_error(str(error), ExitStatus.usage_error)

    async def run_with_client(self, client: ControlClient) -> int:
        """Not used: the file is checked also if control does not answer."""
        raise NotImplementedError

    def _report_check(self, checked: CheckedFile) -> int:
        findings = tuple(_list_findings(checked))
        has_errors = bool(checked.checked.errors)
        compared_with = ''
        in_force: CheckedDocument | None = None
        failure: ExitStatus | None = None
        if not has_errors:
            try:
                compared_with, in_force = self._load_compared(checked)
            except UnreachableError as unreachable:
                write_error(f'no control process gave a definite response: {unreachable}')
                failure = ExitStatus.unreachable
            except RefusedError as refusal:
                write_error(describe_refusal(refusal))
                failure = ExitStatus.refused
        differences: tuple[Difference, ...] = ()
        if in_force is not None:
            differences = compare_documents(in_force.bodies, checked.checked.bodies)
        self._print(_Report(str(self.argument('file')), findings, compared_with, differences))
        if failure is not None:
            return failure
        is_refused = has_errors or (bool(findings) and bool(self.option('strict')))
        return ExitStatus.refused if is_refused else ExitStatus.success

    def _load_compared(self, checked: CheckedFile) -> tuple[str, CheckedDocument | None]:
        """Return the document to compare with and its source, if one is given.

        :raises FileError: if it cannot be compared with.
        """
        against = self.option('against')
        if against is not None:
            other = check_file(Path(against))
            if other.is_platform != checked.is_platform:
                raise FileError(f'{against} has another format than {self.argument("file")}')
            return against, _require_valid(other.checked, against)
        if not self._list_servers():
            return '', None
        client = self._build_client()
        in_force = asyncio.run(_read_in_force(client, is_platform=checked.is_platform))
        return 'the version in force', _require_valid(in_force, 'the version in force')

    def _read_lag_s(self) -> float | None:
        lag = self.option('replication-lag-ms')
        if lag is None:
            return None
        try:
            lag_ms = float(lag)
        except ValueError as error:
            raise UsageError(f'--replication-lag-ms: {lag!r} is not a number') from error
        if not (math.isfinite(lag_ms) and lag_ms >= 0):
            raise UsageError(f'--replication-lag-ms: {lag!r} is not a time')
        return lag_ms / _MS_PER_S

    def _print(self, report: _Report) -> None:
        if self.option('json'):
            write_output(msgspec.json.encode(report).decode())
            return
        for finding in report.findings:
            colour = 'red' if finding.severity == _ERROR else 'yellow'
            place = report.file if finding.line is None else f'{report.file}:{finding.line}'
            text = f'{finding.path}: {finding.message}' if finding.path else finding.message
            self.line(f'{_escape(place)}: <fg={colour}>{finding.severity}</>: {_escape(text)}')
        if report.compared_with:
            self._print_differences(report)
        errors = [each.severity for each in report.findings].count(_ERROR)
        self.line(f'{errors} errors, {len(report.findings) - errors} warnings')

    def _print_differences(self, report: _Report) -> None:
        title = 'differences from' if report.differences else 'no differences from'
        self.line(_escape(f'{title} {report.compared_with}'))
        for difference in report.differences:
            colour = 'red' if difference.kind is ChangeKind.removed else 'cyan'
            text = _escape(f'{difference.subject}: {difference.effect}')
            self.line(f'  <fg={colour}>{_SIGNS[difference.kind]}</> {text}')


def _list_findings(checked: CheckedFile) -> Iterator[_Finding]:
    found = [
        *(_locate(_ERROR, problem, checked) for problem in checked.checked.errors),
        *(_locate(_WARNING, problem, checked) for problem in checked.checked.warnings),
    ]
    yield from sorted(found, key=lambda finding: (finding.line or 0, finding.path))


def _locate(severity: str, problem: Problem, checked: CheckedFile) -> _Finding:
    line = checked.lines.find(problem.path, problem.message)
    return _Finding(severity, line, problem.path, problem.message)


async def _read_in_force(client: ControlClient, *, is_platform: bool) -> CheckedDocument:
    if is_platform:
        configuration = await client.get('/api/Config.Get')
        return check_configuration(msgspec.json.encode(configuration).decode())
    response = await client.get('/v1/document')
    return check_document(parse_sections(response))


def _require_valid(checked: CheckedDocument, source: str) -> CheckedDocument:
    if checked.errors:
        problem = checked.errors[0]
        raise FileError(f'cannot compare with {source}: {problem.path}: {problem.message}')
    return checked


def _escape(text: str) -> str:
    return Formatter.escape(text)
