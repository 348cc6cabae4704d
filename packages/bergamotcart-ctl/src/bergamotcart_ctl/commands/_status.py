"""The ``status`` command."""

from typing import ClassVar

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.commands._tables import render_response


class StatusCommand(ControlCommand):
    """Shows members, leader, groups and entries."""

    name = 'status'
    description = 'Show the control members, the leader, the groups and the entries.'
    options: ClassVar = build_common_options()

    async def run_with_client(self, client: ControlClient) -> int:
        """Print the leader's status."""
        write_output(render_response(await client.get('/v1/status')))
        return ExitStatus.success
