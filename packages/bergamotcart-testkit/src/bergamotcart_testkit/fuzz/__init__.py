"""Runs the fuzz tests with more examples than the test suite, and prints the seed."""

from bergamotcart_testkit.fuzz._run import FuzzRun, run_fuzz_tests

__all__ = ('FuzzRun', 'run_fuzz_tests')
