"""Runs the check of the tests by deliberate faults as a program."""

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.mutants._program import MutantsCommand

run_command(MutantsCommand())
