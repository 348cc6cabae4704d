"""``status``."""

from typing import ClassVar

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.commands._tables import render


class StatusCommand(ControlCommand):
    """Shows members, leader, groups and entries."""

    name = 'status'
    description = 'Show the control members, the leader, the groups and the entries.'
    options: ClassVar = build_common_options()

    async def execute_with(self, client: ControlClient) -> int:
        """Print the answer of the leader."""
        write_output(render(await client.get('/v1/status')))
        return ExitStatus.done
