"""Runs test coroutines, each in an event loop of its own, and finds free addresses."""

import asyncio
import inspect
import random
import socket
from collections.abc import Iterator

import pytest

# Below the range that the system takes for outgoing connections, so that no connection of
# another process takes the port between its check and its use.
_PORTS = range(10_000, 30_000)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test function that is a coroutine function."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    asyncio.run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True


@pytest.fixture
def addresses() -> Iterator[str]:
    """Free addresses, written as ``host:port``."""
    return _find_addresses()


def _find_addresses() -> Iterator[str]:
    for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)):
                yield f'127.0.0.1:{port}'
