"""Runs a stand-in target."""

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.target import TargetCommand

run_command(TargetCommand())
