"""HTTP services of an entry. This module loads the HTTP library, so it is imported late."""

from collections.abc import Callable

from mode import Service

from bergamotcart import entry
from bergamotcart_daemon.entry._adapters import EntryAdapters
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.http import HttpServer
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard


def build_http_services(
    listen: str,
    adapters: EntryAdapters,
    metrics: Metrics,
    read_health: Callable[[], Health],
    submit: Callable[[entry.EntryInput], None],
    guard: ResourceGuard,
) -> tuple[Service, ...]:
    """Build the HTTP server of an entry and the additional services of its adapters.

    :param listen: listening address of the server, as ``host:port``.
    :param submit: takes the inputs of the engine.
    :param guard: limits of the process.
    """
    routes = adapters.build_routes(metrics, submit)
    server = HttpServer(listen, routes, metrics, read_health, guard)
    return (server, *adapters.build_services(read_health, guard))
