"""Configuration of the tests of this package."""

from bergamotcart_testkit.coroutine_tests import pytest_pyfunc_call, runner

__all__ = ('pytest_pyfunc_call', 'runner')
