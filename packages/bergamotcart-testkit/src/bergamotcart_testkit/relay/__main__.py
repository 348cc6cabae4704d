"""Runs a relay."""

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.relay import RelayCommand

run_command(RelayCommand())
