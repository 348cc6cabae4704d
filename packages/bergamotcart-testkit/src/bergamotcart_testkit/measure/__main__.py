"""Runs the measurement as a program."""

from bergamotcart_testkit.command import run_command
from bergamotcart_testkit.measure import MeasureCommand

run_command(MeasureCommand())
