"""Command line of ``bergamotcartd``."""

import sys
from typing import Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option

from bergamotcart_daemon.flags import FLAGS, SettingsError, load_settings
from bergamotcart_daemon.logs import configure_logging
from bergamotcart_daemon.protocols import build_daemon
from bergamotcart_daemon.runtime import run_daemon

_VERSION: Final = '0.1.0'
_EXIT_USAGE_ERROR: Final = 2


class RunCommand(Command):
    """Runs one process of bergamotcart."""

    name = 'bergamotcartd'
    description = 'Runs one process of bergamotcart in the role entry or control.'
    options = [
        option(flag.name, None, flag.description, flag=False, multiple=flag.repeatable)
        for flag in FLAGS
    ]

    def handle(self) -> int:
        """Validate the settings and run the process."""
        given = {flag.field: self.option(flag.name) for flag in FLAGS}
        flags = {name: text for name, text in given.items() if text not in (None, [])}
        try:
            settings = load_settings(flags)
        except SettingsError as error:
            return _report_problems(error.problems)
        configure_logging(settings.log_level, settings.role, settings.name)
        return run_daemon(lambda: build_daemon(settings))


class _DaemonApplication(Application):
    def __init__(self, command: Command) -> None:
        super().__init__('bergamotcartd', _VERSION)
        self.auto_exits(auto_exits=False)
        self.catch_exceptions(catch_exceptions=False)
        self.add(command)
        self._default_command = command.name
        self._single_command = True


def main() -> int:
    """Run the command line.

    :returns: exit status; 2 if flags or settings are wrong.
    """
    try:
        return _DaemonApplication(RunCommand()).run()
    except CleoError as error:
        return _report_problems((str(error),))


def _report_problems(problems: tuple[str, ...]) -> int:
    sys.stderr.write(''.join(f'bergamotcartd: {problem}\n' for problem in problems))
    return _EXIT_USAGE_ERROR


if __name__ == '__main__':
    sys.exit(main())
