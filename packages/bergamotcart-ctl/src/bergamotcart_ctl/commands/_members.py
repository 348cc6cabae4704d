"""The command ``members`` and the commands that change the membership."""

from typing import ClassVar

from cleo.helpers import argument

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.commands._tables import render_response, render_table

_MEMBER_ARGUMENT = argument('name', 'Name of the control member.')


class MembersCommand(ControlCommand):
    """Shows the control members."""

    name = 'members'
    description = 'Show the control members.'
    options: ClassVar = build_common_options()

    async def run_with_client(self, client: ControlClient) -> int:
        """Print the members that the leader's status lists."""
        status = await client.get('/v1/status')
        write_output(render_table(status.get('members') or []))
        return ExitStatus.success


class _MembershipCommand(ControlCommand):
    arguments: ClassVar = [_MEMBER_ARGUMENT]
    action = ''

    async def run_with_client(self, client: ControlClient) -> int:
        """Send the membership change and print the response."""
        body: dict[str, object] = {'action': self.action, 'name': self.argument('name')}
        if self.definition.has_argument('replacement'):
            body['replacement'] = self.argument('replacement')
        write_output(render_response(await client.post('/v1/members', body)))
        return ExitStatus.success


class AdmitCommand(_MembershipCommand):
    """Admits a member that returned with an empty data folder."""

    name = 'members admit'
    description = 'Admit a control member that came back with an emptied data folder.'
    options: ClassVar = build_common_options()
    action = 'admit'


class RemoveCommand(_MembershipCommand):
    """Removes a member permanently."""

    name = 'members remove'
    description = 'Remove a control member.'
    options: ClassVar = build_common_options()
    action = 'remove'


class ReplaceCommand(_MembershipCommand):
    """Replaces a member by a process on another VM."""

    name = 'members replace'
    description = 'Replace a control member by a process on another VM.'
    action = 'replace'
    arguments: ClassVar = [
        argument('name', 'Name of the member that leaves.'),
        argument('replacement', 'Name of the process that takes its place and is running.'),
    ]
    options: ClassVar = build_common_options()
