"""Endpoints for operators."""

from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from mode import Service

from bergamotcart.control import OperatorCommand
from bergamotcart_daemon.http import respond_json
from bergamotcart_daemon.operators._gateway import OperatorGateway

_FORWARD_TIMEOUT_S: Final = 6.0
_FORWARDED: Final = 'X-Bergamotcart-Forwarded'
_AUTHORIZATION: Final = 'Authorization'
_BEARER: Final = 'Bearer '
_BAD_REQUEST: Final = 400
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_TIMEOUT: Final = 504


class OperatorApi(Service):
    """Passes operators' requests to the engine, or to the leader's process.

    :param addresses: HTTP addresses of the control members by name.
    :param read_leader: returns the name of the leader, if it is known.
    :param gateway: passes requests to the engine.
    """

    def __init__(
        self,
        addresses: Mapping[str, str],
        read_leader: Callable[[], str | None],
        gateway: OperatorGateway,
    ) -> None:
        """Keep the parameters; the client session is opened at start."""
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
        """Return the routes."""
        routes = [
            web.get('/v1/document', self._handle_document),
            web.put('/v1/document', self._handle_replacement),
            web.get('/v1/status', self._handle_status),
            web.get('/v1/changes/{section}', self._handle_history),
            web.post('/v1/changes', self._handle_change),
            web.post('/v1/members', self._handle_members),
        ]
        return tuple(routes)

    async def _handle_document(self, request: web.Request) -> web.Response:
        return await self._handle(request, OperatorCommand.get_document, {})

    async def _handle_status(self, request: web.Request) -> web.Response:
        return await self._handle(request, OperatorCommand.status, {})

    async def _handle_history(self, request: web.Request) -> web.Response:
        body: dict[str, object] = {'section': request.match_info['section']}
        return await self._handle(request, OperatorCommand.history, body)

    async def _handle_change(self, request: web.Request) -> web.Response:
        return await self._handle_body(request, OperatorCommand.change)

    async def _handle_replacement(self, request: web.Request) -> web.Response:
        return await self._handle_body(request, OperatorCommand.replace_document)

    async def _handle_members(self, request: web.Request) -> web.Response:
        return await self._handle_body(request, OperatorCommand.members)

    async def _handle_body(self, request: web.Request, command: OperatorCommand) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=dict[str, object])
        except ValueError as error:
            return respond_json(_BAD_REQUEST, {'error': f'malformed body: {error}'})
        return await self._handle(request, command, body)

    async def _handle(
        self,
        request: web.Request,
        command: OperatorCommand,
        body: dict[str, object],
    ) -> web.Response:
        header = request.headers.get(_AUTHORIZATION, '')
        token = header.removeprefix(_BEARER) if header.startswith(_BEARER) else ''
        reply = await self._gateway.ask(command, token, body)
        if reply is None:
            error = 'no answer in time; it is unknown whether a change was accepted'
            return respond_json(_TIMEOUT, {'error': error})
        if reply.status == _MISDIRECTED:
            return await self._forward(request)
        return respond_json(reply.status, reply.body)

    async def _forward(self, request: web.Request) -> web.Response:
        leader = self._read_leader()
        address = self._addresses.get(leader or '')
        if _FORWARDED in request.headers or address is None:
            known = 'no leader is known' if leader is None else f'the leader is {leader}'
            return respond_json(_UNAVAILABLE, {'error': f'{known}; try again', 'leader': leader})
        headers = {_FORWARDED: '1', _AUTHORIZATION: request.headers.get(_AUTHORIZATION, '')}
        try:
            return await self._exchange(request, address, headers)
        except (ClientError, TimeoutError, OSError) as error:
            text = f'leader {leader} does not answer: {type(error).__name__}'
            return respond_json(_TIMEOUT, {'error': text, 'leader': leader})

    async def _exchange(
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
