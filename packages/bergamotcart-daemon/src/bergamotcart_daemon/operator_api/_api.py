"""HTTP endpoints for operators."""

from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from mode import Service

from bergamotcart.control import OperatorCommand
from bergamotcart.messages import decode_external
from bergamotcart_daemon.http import respond_json
from bergamotcart_daemon.operators import REPLY_TIMEOUT_S, OperatorGateway

_FORWARD_TIMEOUT_S: Final = 6.0
_FORWARDED_HEADER: Final = 'X-Bergamotcart-Forwarded'
_AUTHORIZATION_HEADER: Final = 'Authorization'
_BEARER_PREFIX: Final = 'Bearer '
_BAD_REQUEST: Final = 400
_MISDIRECTED_REQUEST: Final = 421
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_BODY_DECODER: Final = msgspec.json.Decoder(dict[str, object])


class OperatorApi(Service):
    """Passes operators' requests to the engine, or forwards them to the leader.

    :param addresses: HTTP addresses of control members by name.
    :param read_leader: returns the name of the leader, or ``None`` if it is not known.
    :param gateway: passes requests to the engine.
    """

    def __init__(
        self,
        addresses: Mapping[str, str],
        read_leader: Callable[[], str | None],
        gateway: OperatorGateway,
    ) -> None:
        """Store the parameters; the client session is opened at start."""
        super().__init__()
        self._addresses = addresses
        self._read_leader = read_leader
        self._gateway = gateway
        self._session: ClientSession | None = None

    async def on_start(self) -> None:
        """Open the client session for forwarded requests."""
        timeout = ClientTimeout(total=_FORWARD_TIMEOUT_S)
        self._session = await self.add_async_context(ClientSession(timeout=timeout))

    def build_routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes of the endpoints."""
        routes = [
            web.get('/v1/document', self._handle_get_document),
            web.put('/v1/document', self._handle_replace_document),
            web.get('/v1/status', self._handle_status),
            web.get('/v1/caps', self._handle_caps),
            web.get('/v1/changes/{section}', self._handle_history),
            web.post('/v1/changes', self._handle_change),
            web.post('/v1/members', self._handle_membership_change),
        ]
        return tuple(routes)

    async def _handle_get_document(self, request: web.Request) -> web.Response:
        return await self._process_command(request, OperatorCommand.get_document, {})

    async def _handle_status(self, request: web.Request) -> web.Response:
        return await self._process_command(request, OperatorCommand.status, {})

    async def _handle_caps(self, request: web.Request) -> web.Response:
        return await self._process_command(request, OperatorCommand.caps, {})

    async def _handle_history(self, request: web.Request) -> web.Response:
        body: dict[str, object] = {'section': request.match_info['section']}
        return await self._process_command(request, OperatorCommand.history, body)

    async def _handle_change(self, request: web.Request) -> web.Response:
        return await self._process_body(request, OperatorCommand.change)

    async def _handle_replace_document(self, request: web.Request) -> web.Response:
        return await self._process_body(request, OperatorCommand.replace_document)

    async def _handle_membership_change(self, request: web.Request) -> web.Response:
        return await self._process_body(request, OperatorCommand.members)

    async def _process_body(self, request: web.Request, command: OperatorCommand) -> web.Response:
        try:
            body = decode_external(_BODY_DECODER, await request.read())
        except ValueError as error:
            return respond_json(_BAD_REQUEST, {'error': f'malformed body: {error}'})
        return await self._process_command(request, command, body)

    async def _process_command(
        self,
        request: web.Request,
        command: OperatorCommand,
        body: dict[str, object],
    ) -> web.Response:
        header = request.headers.get(_AUTHORIZATION_HEADER, '')
        token = header.removeprefix(_BEARER_PREFIX) if header.startswith(_BEARER_PREFIX) else ''
        reply = await self._gateway.send_request(command, token, body)
        if reply is None:
            error = (
                f'no reply from the engine within {REPLY_TIMEOUT_S} s; '
                'a change may have been accepted'
            )
            return respond_json(_GATEWAY_TIMEOUT, {'error': error})
        if reply.status == _MISDIRECTED_REQUEST:
            return await self._forward(request)
        return respond_json(reply.status, reply.body)

    async def _forward(self, request: web.Request) -> web.Response:
        leader = self._read_leader()
        address = self._addresses.get(leader or '')
        if _FORWARDED_HEADER in request.headers or address is None:
            problem = (
                'no leader is known'
                if leader is None
                else f'request not forwarded to leader {leader}'
            )
            return respond_json(_UNAVAILABLE, {'error': f'{problem}; try again', 'leader': leader})
        headers = {
            _FORWARDED_HEADER: '1',
            _AUTHORIZATION_HEADER: request.headers.get(_AUTHORIZATION_HEADER, ''),
        }
        try:
            return await self._forward_to(request, address, headers)
        except (ClientError, TimeoutError, OSError) as error:
            message = f'request to leader {leader} at {address} failed: {type(error).__name__}'
            return respond_json(_GATEWAY_TIMEOUT, {'error': message, 'leader': leader})

    async def _forward_to(
        self,
        request: web.Request,
        address: str,
        headers: dict[str, str],
    ) -> web.Response:
        async with self._session.request(
            request.method,
            f'http://{address}{request.rel_url}',
            data=await request.read(),
            headers=headers,
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                content_type='application/json',
            )
