"""A longer run of the fuzz tests than that of the test suite, with a printed seed."""

from bergamotcart_testkit.fuzz._run import FuzzRun, run_fuzz_tests

__all__ = ('FuzzRun', 'run_fuzz_tests')
