"""The ``caps`` command."""

from typing import ClassVar

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.commands._tables import render_response


class CapsCommand(ControlCommand):
    """Shows cap, use and lent credits of each capped workspace."""

    name = 'caps'
    description = 'Show cap, use and lent credits of each workspace with a cap.'
    options: ClassVar = build_common_options()

    async def run_with_client(self, client: ControlClient) -> int:
        """Print the caps that the leader keeps."""
        write_output(render_response(await client.get('/v1/caps')))
        return ExitStatus.success
