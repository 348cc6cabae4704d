"""Runs the capacity measurement as a program."""

from bergamotcart_testkit.capacity._program import CapacityCommand
from bergamotcart_testkit.command import run_command

run_command(CapacityCommand())
