"""What all commands have in common."""

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

from bergamotcart_ctl.changes import FileError
from bergamotcart_ctl.client import ControlClient, RefusedError, UnreachableError

SERVER_VARIABLE: Final = 'BERGAMOTCTL_SERVER'
TOKEN_VARIABLE: Final = 'BERGAMOTCTL_TOKEN'


# Fields of an answer that the first line of an error shows, or that only repeat the request.
_TITLES: Final = frozenset(
    ('error', 'outcome', 'section', 'dry_run', 'current_body', 'revision'),
)


class ExitStatus(enum.IntEnum):
    """Exit status of the program."""

    done = 0
    refused = 1
    usage = 2
    unreachable = 3


class UsageError(ValueError):
    """The command line lacks something or contradicts itself."""


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
    """A command that talks to control."""

    def handle(self) -> int:
        """Run the command and turn its errors into an exit status."""
        try:
            return asyncio.run(self.execute_with(self._build_client()))
        except (UsageError, FileError) as error:
            return report(str(error), ExitStatus.usage)
        except RefusedError as error:
            return report(describe_refusal(error), ExitStatus.refused)
        except UnreachableError as error:
            return report(f'no control process answers: {error}', ExitStatus.unreachable)

    @abc.abstractmethod
    async def execute_with(self, client: ControlClient) -> int:
        """Do the work of the command.

        :returns: exit status.
        """

    def _build_client(self) -> ControlClient:
        servers = self.option('server') or os.environ.get(SERVER_VARIABLE, '').split(',')
        addresses = [server.strip() for server in servers if server.strip()]
        if not addresses:
            raise UsageError(f'no server: give --server or set {SERVER_VARIABLE}')
        return ControlClient(addresses, self._read_token())

    def _read_token(self) -> str:
        path = self.option('token-file')
        if path is None:
            return os.environ.get(TOKEN_VARIABLE, '')
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            raise UsageError(f'--token-file: {error.strerror}') from error


def write_output(text: str) -> None:
    """Write lines to standard output as they are."""
    sys.stdout.write(f'{text.rstrip()}\n')


def report(text: str, status: ExitStatus) -> ExitStatus:
    """Write an error to standard error and return the exit status."""
    report_line(text)
    return status


def report_line(text: str) -> None:
    """Write an error to standard error."""
    sys.stderr.write(f'bergamotctl: {text}\n')


def describe_refusal(error: RefusedError) -> str:
    """Return the reasons of a refused request, one per line."""
    reason = error.body.get('error') or error.body.get('outcome') or ''
    lines = [f'refused ({error.status}): {reason}'.rstrip(': ')]
    for name, detail in sorted(error.body.items()):
        if name not in _TITLES and detail not in ('', None, []):
            lines.extend(_describe_field(name, detail))
    return '\n'.join(lines)


def _describe_field(name: str, detail: object) -> list[str]:
    if name == 'problems' and isinstance(detail, list):
        return [f'  {_describe_problem(problem)}' for problem in detail]
    if name == 'diff':
        return [str(detail)]
    if name == 'version':
        return [f'  current version: {detail}'] if detail else []
    return [f'  {name}: {_describe(detail)}']


def _describe_problem(problem: object) -> str:
    if isinstance(problem, dict):
        return f'{problem.get("path")}: {problem.get("message")}'
    return str(problem)


def _describe(detail: object) -> str:
    return detail if isinstance(detail, str) else msgspec.json.encode(detail).decode()
