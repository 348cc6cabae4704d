"""Orders to the administration address of a target."""

import abc
import dataclasses
from typing import Final

import aiohttp
import msgspec

from bergamotcart.control._events import InstanceStatus, Order, OrderKind
from bergamotcart_daemon.addresses import AddressTranslation

_ORDER_TIMEOUT_S: Final = 1.0
_OK: Final = 200
_CONFLICT: Final = 409
_MAX_ANSWER_BYTES: Final = 65536


class TargetAdmin(abc.ABC):
    """Sends orders to targets."""

    @abc.abstractmethod
    async def send(self, order: Order) -> InstanceStatus | None:
        """Send an order.

        :returns: the answer of the instance, or ``None`` if there is no valid one.
        """


class HttpTargetAdmin(TargetAdmin):
    """Sends orders as HTTP requests with JSON bodies."""

    def __init__(self, session: aiohttp.ClientSession, translation: AddressTranslation) -> None:
        """Use a client session that its creator closes."""
        self._session = session
        self._translation = translation
        self._timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)

    async def send(self, order: Order) -> InstanceStatus | None:
        """Send an order; a refused one is answered with ``accepted`` set to false."""
        try:
            return await self._exchange(order)
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    async def _exchange(self, order: Order) -> InstanceStatus | None:
        address = self._translation.translate(order.admin_address)
        path = order.kind.replace('_', '-')
        method = 'GET' if order.kind == OrderKind.status else 'POST'
        async with self._session.request(
            method,
            f'http://{address}/{path}',
            json=None if method == 'GET' else _build_body(order),
            timeout=self._timeout,
        ) as response:
            body = await response.content.read(_MAX_ANSWER_BYTES)
            if response.status not in {_OK, _CONFLICT}:
                return None
            answer = msgspec.json.decode(body, type=InstanceStatus)
            accepted = response.status == _OK and answer.accepted
            return dataclasses.replace(answer, accepted=accepted)


def _build_body(order: Order) -> dict[str, object]:
    if order.kind != OrderKind.follow:
        return {'term': order.term}
    return {
        'term': order.term,
        'primary': order.primary,
        'address': order.primary_address,
        'admin_address': order.primary_admin_address,
    }
