"""HTTP client for the administration address of targets."""

import logging
from typing import Final

import aiohttp
import msgspec

from bergamotcart.control import InstanceStatus, Order, OrderKind
from bergamotcart.messages import decode_external
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.orders import TargetAdmin

_ORDER_TIMEOUT_S: Final = 1.0
_STATUS_OK: Final = 200
_STATUS_CONFLICT: Final = 409
_MAX_ANSWER_BYTES: Final = 65536
_STATUS_DECODER: Final = msgspec.json.Decoder(InstanceStatus)

_logger = logging.getLogger(__name__)


class HttpTargetAdmin(TargetAdmin):
    """Sends orders as HTTP requests with JSON bodies."""

    def __init__(self, translation: AddressTranslation) -> None:
        """Store the parameters; the client session is opened at start."""
        super().__init__()
        self._session: aiohttp.ClientSession | None = None
        self._translation = translation
        self._timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = await self.add_async_context(aiohttp.ClientSession())

    async def send(self, order: Order) -> InstanceStatus | None:
        """Send an order; if the target refuses it, the status has ``accepted`` set to false."""
        try:
            return await self._send_request(order)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            _logger.info(
                'order %s to instance %s at %s failed, the engine will repeat it: %r',
                order.kind,
                order.instance,
                order.admin_address,
                error,
            )
            return None

    async def _send_request(self, order: Order) -> InstanceStatus:
        """Send an order.

        :raises ValueError: if the answer is malformed or has an unexpected status.
        """
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
            if response.status not in {_STATUS_OK, _STATUS_CONFLICT}:
                raise ValueError(f'unexpected HTTP status {response.status}')
            instance_status = decode_external(_STATUS_DECODER, body)
            accepted = response.status == _STATUS_OK and instance_status.accepted
            return msgspec.structs.replace(instance_status, accepted=accepted)


def _build_body(order: Order) -> dict[str, object]:
    if order.kind != OrderKind.follow:
        return {'term': order.term}
    return {
        'term': order.term,
        'primary': order.primary,
        'address': order.primary_address,
        'admin_address': order.primary_admin_address,
    }
