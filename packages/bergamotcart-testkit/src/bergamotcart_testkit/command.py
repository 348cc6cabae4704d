"""Runs a program that consists of one command."""

import sys
from typing import NoReturn

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput


def run_command(command: Command) -> NoReturn:
    """Run a command with the arguments of the process, and exit with its status."""
    name = command.name or ''
    application = Application(name)
    application.add(command)
    arguments = [sys.argv[0], name]
    arguments.extend(sys.argv[1:])
    sys.exit(application.run(ArgvInput(arguments)))
