"""Runs the fuzz tests as a program."""

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.fuzz._program import FuzzCommand

run_command(FuzzCommand())
