"""Service that sends the orders of the control engine."""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from bergamotcart.control import Order, OrderFinished
from bergamotcart_daemon.orders._target_admin import TargetAdmin


class OrderSender(Service):
    """Sends each order in its own task, so that a silent target does not delay orders to others.

    :param admin: client that sends the orders.
    :param submit: called with the result of each order.
    """

    def __init__(self, admin: TargetAdmin, submit: Callable[[OrderFinished], None]) -> None:
        """Store the parameters."""
        super().__init__()
        self._submit = submit
        self._admin = admin
        self._tasks: set[asyncio.Task[None]] = set()

    def on_init_dependencies(self) -> Iterable[Service]:
        """Start the client before this service."""
        return (self._admin,)

    async def on_stop(self) -> None:
        """Cancel the orders in progress."""
        for task in self._tasks:
            task.cancel()

    def send(self, order: Order) -> None:
        """Start to send an order in the background."""
        task = asyncio.get_running_loop().create_task(self._send_and_submit(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_and_submit(self, order: Order) -> None:
        status = await self._admin.send(order)
        self._submit(OrderFinished(order.order_id, status))
