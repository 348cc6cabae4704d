"""Entry point of the ``bergamotctl`` command line."""

import sys
from typing import Final

from cleo.application import Application
from cleo.exceptions import CleoError

from bergamotcart_ctl import commands

_VERSION: Final = '0.1.0'


def build_application() -> Application:
    """Return the ``bergamotctl`` application with all commands."""
    application = Application('bergamotctl', _VERSION)
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    for command in (
        commands.StatusCommand,
        commands.CapsCommand,
        commands.MembersCommand,
        commands.ReplaceCommand,
        commands.AdmitCommand,
        commands.RemoveCommand,
        commands.GetCommand,
        commands.HistoryCommand,
        commands.DiffCommand,
        commands.CheckCommand,
        commands.ApplyCommand,
        commands.WaitCommand,
    ):
        application.add(command())
    return application


def main() -> int:
    """Run the command given on the command line.

    :returns: exit status: 0 success, 1 refused, 2 usage error, 3 control unreachable.
    """
    try:
        return build_application().run()
    except CleoError as error:
        sys.stderr.write(f'bergamotctl: {error}\n')
        return int(commands.ExitStatus.usage_error)


if __name__ == '__main__':
    sys.exit(main())
