"""The ``wait`` command, and the functions that it shares with ``apply --wait``."""

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
    report_error,
    write_output,
)

_POLL_INTERVAL_S: Final = 0.2
_STATUS_PATH: Final = '/v1/status'


def build_timeout_option() -> Option:
    """Return the ``--timeout`` option, which limits a wait."""
    return option('timeout', None, 'Seconds to wait.', flag=False, default='30')


def parse_timeout(text: str) -> float:
    """Parse the value of ``--timeout``, in seconds.

    :raises UsageError: if it is not a number of seconds.
    """
    try:
        return float(text)
    except ValueError as error:
        raise UsageError(f'--timeout must be a number of seconds, got {text!r}') from error


async def wait_and_report(client: ControlClient, revision: int, timeout_s: float) -> int:
    """Wait until a revision is in force, and report the entries that lag.

    :returns: exit status.
    """
    lagging_entries = await wait_for_revision(client, revision, timeout_s)
    if lagging_entries:
        names = ', '.join(lagging_entries)
        return report_error(
            f'revision {revision} is not in force within {timeout_s} s on: {names}',
            ExitStatus.refused,
        )
    write_output(f'revision {revision} is in force on all entries')
    return ExitStatus.success


async def wait_for_revision(client: ControlClient, revision: int, timeout_s: float) -> list[str]:
    """Wait until every entry reports a revision.

    :param timeout_s: seconds after which the wait ends.
    :returns: names of the entries that lag, each with the revision that it has in force; only
        ``control`` if control itself does not have the revision yet.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    lagging_entries = _find_lagging_entries(await client.get(_STATUS_PATH), revision)
    while lagging_entries and loop.time() < deadline:
        await asyncio.sleep(_POLL_INTERVAL_S)
        lagging_entries = _find_lagging_entries(await client.get(_STATUS_PATH), revision)
    return lagging_entries


def _find_lagging_entries(status: dict[str, object], revision: int) -> list[str]:
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
    """Waits until a revision is in force on all entries."""

    name = 'wait'
    description = 'Wait until a revision is in force on all entries, and name those that lag.'
    arguments: ClassVar = [argument('revision', 'Revision of the document.')]
    options: ClassVar = [build_timeout_option(), *build_common_options()]

    async def run_with_client(self, client: ControlClient) -> int:
        """Poll the status until the revision is in force or the time-out has passed."""
        revision = self.argument('revision')
        if not revision.isdigit():
            raise UsageError(f'REVISION must be a whole number, got {revision!r}')
        return await wait_and_report(client, int(revision), parse_timeout(self.option('timeout')))
