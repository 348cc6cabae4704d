"""Orders to targets."""

import abc

from mode import Service

from bergamotcart.control import InstanceStatus, Order


class TargetAdmin(Service):
    """Sends orders to targets."""

    @abc.abstractmethod
    async def send(self, order: Order) -> InstanceStatus | None:
        """Send an order.

        :returns: the answer of the instance, or ``None`` if there is no valid one.
        """
