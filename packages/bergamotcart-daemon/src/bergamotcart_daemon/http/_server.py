"""HTTP server with the endpoints that both roles have."""

from collections.abc import Callable, Sequence
from typing import Final

import msgspec
from aiohttp import web
from mode import Service

from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.http._limited_site import MAX_BODY_BYTES, LimitedServer
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard

_SHUTDOWN_TIMEOUT_S: Final = 2.0


def respond_json(status: int, body: object) -> web.Response:
    """Build a response with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


class HttpServer(Service):
    """Serves ``/health``, ``/metrics`` and the routes of the role.

    :param listen: listening address, as ``host:port``.
    :param read_health: returns the current health.
    :param guard: limits of the process.
    """

    def __init__(
        self,
        listen: str,
        routes: Sequence[web.RouteDef],
        metrics: Metrics,
        read_health: Callable[[], Health],
        guard: ResourceGuard | None = None,
    ) -> None:
        """Store the parameters; the socket is opened at start."""
        super().__init__()
        self._listen = Address.parse(listen)
        self._routes = routes
        self._metrics = metrics
        self._read_health = read_health
        self._guard = guard or ResourceGuard.build_unlimited(metrics)

    async def on_start(self) -> None:
        """Start to listen for requests."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.get('/health', self._handle_health),
                web.get('/metrics', self._handle_metrics),
                *self._routes,
            ],
        )
        server = LimitedServer(application, self._guard)
        self.async_exit_stack.push_async_callback(server.stop)
        await server.start(self._listen.host, self._listen.port, _SHUTDOWN_TIMEOUT_S)

    async def _handle_health(self, request: web.Request) -> web.Response:
        health = self._read_health()
        return respond_json(200 if health.serving else 503, health.details)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        rendered = self._metrics.render(request.headers.get('Accept', '*/*'))
        return web.Response(body=rendered.body, headers=rendered.headers)
