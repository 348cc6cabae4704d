"""Service that carries out the orders of the control engine."""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from bergamotcart.control import Order, OrderFinished
from bergamotcart_daemon.orders._admin import TargetAdmin


class OrderRunner(Service):
    """Sends each order in a task of its own, so that a silent target delays no other one.

    :param admin: sends them.
    :param submit: takes the answers.
    """

    def __init__(self, admin: TargetAdmin, submit: Callable[[OrderFinished], None]) -> None:
        """Keep the parameters."""
        super().__init__()
        self._submit = submit
        self._admin = admin
        self._tasks: set[asyncio.Task[None]] = set()

    def on_init_dependencies(self) -> Iterable[Service]:
        """Open what orders go through first."""
        return (self._admin,)

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
