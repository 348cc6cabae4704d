"""Base class, exit statuses and output functions of the commands."""

import abc
import asyncio
import enum
import os
import sys
from pathlib import Path
from typing import Final

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bergamotcart_ctl.client import ControlClient, RefusedError, UnreachableError
from bergamotcart_ctl.documents import FileError

SERVER_VARIABLE: Final = 'BERGAMOTCTL_SERVER'
TOKEN_VARIABLE: Final = 'BERGAMOTCTL_TOKEN'
# Response fields that are left out of the details of a refusal, because the first line of the
# error already shows them or they only repeat the request.
_OMITTED_FIELDS: Final = frozenset(
    ('error', 'outcome', 'section', 'dry_run', 'current_body', 'revision'),
)


class ExitStatus(enum.IntEnum):
    """Exit status of the program."""

    success = 0
    refused = 1
    usage_error = 2
    unreachable = 3


class UsageError(ValueError):
    """A value of the command line or the environment is missing, invalid or in conflict."""


def build_common_options() -> list[Option]:
    """Return the options that every command has."""
    return [
        option(
            'server',
            None,
            f'Address of a control process, host:port; repeatable (environment: {SERVER_VARIABLE},'
            ' comma-separated).',
            flag=False,
            multiple=True,
        ),
        option(
            'token-file',
            None,
            f'File that holds the operator token (environment: {TOKEN_VARIABLE}).',
            flag=False,
        ),
    ]


class ControlCommand(Command):
    """A command that sends requests to control processes."""

    def handle(self) -> int:
        """Run the command; report its errors and return the matching exit status."""
        try:
            return asyncio.run(self.run_with_client(self._build_client()))
        except (UsageError, FileError) as error:
            return report_error(str(error), ExitStatus.usage_error)
        except RefusedError as error:
            return report_error(describe_refusal(error), ExitStatus.refused)
        except UnreachableError as error:
            return report_error(
                f'no control process gave a definite response: {error}',
                ExitStatus.unreachable,
            )

    @abc.abstractmethod
    async def run_with_client(self, client: ControlClient) -> int:
        """Run the command with a client for the configured servers.

        :returns: exit status.
        """

    def _list_servers(self) -> list[str]:
        servers = self.option('server') or os.environ.get(SERVER_VARIABLE, '').split(',')
        return [server.strip() for server in servers if server.strip()]

    def _build_client(self) -> ControlClient:
        addresses = self._list_servers()
        if not addresses:
            raise UsageError(f'no server address: give --server or set {SERVER_VARIABLE}')
        return ControlClient(addresses, self._read_token())

    def _read_token(self) -> str:
        path = self.option('token-file')
        if path is None:
            return os.environ.get(TOKEN_VARIABLE, '')
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            raise UsageError(f'--token-file: cannot read {path}: {error.strerror}') from error


def write_output(text: str) -> None:
    """Write text to standard output without interpreting markup, ending with one newline."""
    sys.stdout.write(f'{text.rstrip()}\n')


def report_error(text: str, status: ExitStatus) -> ExitStatus:
    """Write an error to standard error and return the given exit status."""
    write_error(text)
    return status


def write_error(text: str) -> None:
    """Write an error to standard error."""
    sys.stderr.write(f'bergamotctl: {text}\n')


def describe_refusal(error: RefusedError) -> str:
    """Describe a refused request: a summary line, then one entry per response field."""
    reason = error.body.get('error') or error.body.get('outcome') or ''
    lines = [f'refused ({error.status}): {reason}'.rstrip(': ')]
    for name, field_value in sorted(error.body.items()):
        if name not in _OMITTED_FIELDS and field_value not in ('', None, []):
            lines.extend(_format_field(name, field_value))
    return '\n'.join(lines)


def _format_field(name: str, field_value: object) -> list[str]:
    if name == 'problems' and isinstance(field_value, list):
        return [f'  {_format_problem(problem)}' for problem in field_value]
    if name == 'diff':
        return [str(field_value)]
    if name == 'version':
        return [f'  current version: {field_value}'] if field_value else []
    return [f'  {name}: {_format_value(field_value)}']


def _format_problem(problem: object) -> str:
    if isinstance(problem, dict):
        return f'{problem.get("path")}: {problem.get("message")}'
    return str(problem)


def _format_value(field_value: object) -> str:
    return (
        field_value if isinstance(field_value, str) else msgspec.json.encode(field_value).decode()
    )
