"""Services that start after the others, because loading their modules takes long."""

import asyncio
import contextlib
import importlib
import logging
import sys
import threading
import time
from collections.abc import Callable, Sequence
from importlib.abc import MetaPathFinder
from types import ModuleType
from typing import Final

from mode import Service

_READY_CHECK_INTERVAL_S: Final = 0.05
# Operators see a process that cannot serve after this time at the latest.
_MAX_DELAY_S: Final = 2.0

_logger = logging.getLogger(__name__)


class DeferredServices(Service):
    """Loads a module in a thread, and then starts the services that need it.

    After a loss of power, callers do not wait for these services. On a VM with half a core,
    loading an HTTP library takes as long as everything else between the start of a process and
    its first answer. With pauses between its modules, the thread does not hold up the callers that
    come back then.

    :param module: name of the module.
    :param build: builds the services once the module is loaded.
    :param is_ready: whether the process serves already.
    :param pause_s: seconds to wait before each module that the module imports.
    """

    def __init__(
        self,
        module: str,
        build: Callable[[], tuple[Service, ...]],
        is_ready: Callable[[], bool],
        pause_s: float = 0,
    ) -> None:
        """Store the parameters."""
        super().__init__()
        self._module = module
        self._build = build
        self._is_ready = is_ready
        self._pause_s = pause_s

    @Service.task
    async def start_services(self) -> None:
        """Start the services, which stop together with this one."""
        await self._wait_until_ready()
        await asyncio.to_thread(_load_module, self._module, self._pause_s)
        for service in self._build():
            await self.add_runtime_dependency(service)
        _logger.info('deferred services started')

    async def _wait_until_ready(self) -> None:
        loop = asyncio.get_running_loop()
        latest = loop.time() + _MAX_DELAY_S
        while loop.time() < latest and not self._is_ready():
            await asyncio.sleep(_READY_CHECK_INTERVAL_S)


class _PausingFinder(MetaPathFinder):
    """Finds no module, but pauses before each one that its thread imports.

    :param pause_s: length of the pauses in seconds.
    """

    def __init__(self, pause_s: float) -> None:
        """Pause the imports of the present thread."""
        self._pause_s = pause_s
        self._thread = threading.get_ident()

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> None:
        """Pause, and leave the search to the other finders."""
        if threading.get_ident() == self._thread:
            time.sleep(self._pause_s)


def _load_module(name: str, pause_s: float) -> None:
    finder = _PausingFinder(pause_s)
    with contextlib.ExitStack() as stack:
        sys.meta_path.insert(0, finder)
        stack.callback(sys.meta_path.remove, finder)
        importlib.import_module(name)
