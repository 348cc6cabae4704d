"""Support for tests that are coroutine functions, for import into ``conftest`` modules."""

import asyncio
import inspect
from collections.abc import Iterator

import pytest

__all__ = ('pytest_pyfunc_call', 'runner')


@pytest.fixture(scope='session', autouse=True)
def runner() -> Iterator[asyncio.Runner]:
    """Yield the event loop that all tests and fixtures share."""
    with asyncio.Runner() as shared:
        yield shared


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test on the shared event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    pyfuncitem.funcargs['runner'].run(pyfuncitem.obj(**arguments))
    return True
