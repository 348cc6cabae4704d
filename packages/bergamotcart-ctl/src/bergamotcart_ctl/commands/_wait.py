"""Waiting until a revision is in force everywhere."""

import asyncio
from typing import ClassVar, Final

from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    UsageError,
    build_common_options,
    report,
    write_output,
)

_POLL_S: Final = 0.2
_STATUS: Final = '/v1/status'


def build_timeout_option() -> Option:
    """Return the option that limits a wait."""
    return option('timeout', None, 'Seconds to wait.', flag=False, default='30')


def parse_timeout(text: str) -> float:
    """Read the value of the option that limits a wait.

    :raises UsageError: if it is not a number of seconds.
    """
    try:
        return float(text)
    except ValueError as error:
        raise UsageError('--timeout must be a number of seconds') from error


async def wait_and_report(client: ControlClient, revision: int, timeout_s: float) -> int:
    """Wait for a revision and name the entries that lag.

    :returns: exit status.
    """
    lagging = await wait_for_revision(client, revision, timeout_s)
    if lagging:
        text = ', '.join(lagging)
        return report(f'revision {revision} is not in force on: {text}', ExitStatus.refused)
    write_output(f'revision {revision} is in force on all entries')
    return ExitStatus.done


async def wait_for_revision(client: ControlClient, revision: int, timeout_s: float) -> list[str]:
    """Wait until every entry reports a revision.

    :param timeout_s: seconds after which the wait ends.
    :returns: names of the entries that lag, with the revision that each has in force.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    lagging = _find_lagging(await client.get(_STATUS), revision)
    while lagging and loop.time() < deadline:
        await asyncio.sleep(_POLL_S)
        lagging = _find_lagging(await client.get(_STATUS), revision)
    return lagging


def _find_lagging(status: dict[str, object], revision: int) -> list[str]:
    entries = status.get('entries') or []
    rows = entries.values() if isinstance(entries, dict) else entries
    if int(status.get('revision') or 0) < revision:
        return [f'control (revision {status.get("revision")})']
    return [
        f'{row["name"]} (revision {row["revision"]})'
        for row in rows
        if row.get('revision', revision) < revision
    ]


class WaitCommand(ControlCommand):
    """Waits for a revision."""

    name = 'wait'
    description = 'Wait until a revision is in force on all entries, and name those that lag.'
    arguments: ClassVar = [argument('revision', 'Revision of the document.')]
    options: ClassVar = [build_timeout_option(), *build_common_options()]

    async def execute_with(self, client: ControlClient) -> int:
        """Poll the status."""
        revision = self.argument('revision')
        if not revision.isdigit():
            raise UsageError('REVISION must be a whole number')
        return await wait_and_report(client, int(revision), parse_timeout(self.option('timeout')))
