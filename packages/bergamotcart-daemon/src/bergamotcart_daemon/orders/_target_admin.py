"""Interface of the service that sends orders to targets."""

import abc

from mode import Service

from bergamotcart.control import InstanceStatus, Order


class TargetAdmin(Service):
    """Sends orders to the administration interface of targets."""

    @abc.abstractmethod
    async def send(self, order: Order) -> InstanceStatus | None:
        """Send an order.

        :returns: the status that the instance answered, or ``None`` without a valid answer.
        """
