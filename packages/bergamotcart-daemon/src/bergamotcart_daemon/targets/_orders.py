"""Service that carries out the orders of the control engine."""

import asyncio
from collections.abc import Callable

import aiohttp
from mode import Service

from bergamotcart.control._events import Order, OrderFinished
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.targets._admin import HttpTargetAdmin, TargetAdmin


class OrderRunner(Service):
    """Sends each order in a task of its own, so that a silent target delays no other one.

    :param submit: takes the answers.
    """

    def __init__(
        self,
        translation: AddressTranslation,
        submit: Callable[[OrderFinished], None],
    ) -> None:
        """Keep the parameters; the client session is opened at start."""
        super().__init__()
        self._translation = translation
        self._submit = submit
        self._admin: TargetAdmin | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Open the client session."""
        session = await self.add_async_context(aiohttp.ClientSession())
        self._admin = HttpTargetAdmin(session, self._translation)

    async def on_stop(self) -> None:
        """Give up orders that are under way."""
        for task in self._tasks:
            task.cancel()

    def send(self, action: Order) -> None:
        """Start an order."""
        task = asyncio.get_running_loop().create_task(self._send(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, action: Order) -> None:
        status = await self._admin.send(action)
        self._submit(OrderFinished(action.order_id, status))
