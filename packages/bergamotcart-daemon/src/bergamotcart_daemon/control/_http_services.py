"""HTTP services of a control member. This module loads the HTTP library, so it is imported late."""

from collections.abc import Callable

from mode import Service

from bergamotcart.control import ControlInput
from bergamotcart_daemon.control._adapters import ControlAdapters
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.http import HttpServer
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.operators import OperatorGateway
from bergamotcart_daemon.resources import ResourceGuard


class ControlHttpServices:
    """Builds the HTTP server of a control member and the services of its adapters.

    :param listen: listening address of the server, as ``host:port``.
    :param read_leader: returns the name of the leader, or ``None`` if it is not known.
    :param guard: limits of the process.
    """

    __slots__ = ('_adapters', '_guard', '_listen', '_metrics', '_read_health', '_read_leader')

    def __init__(
        self,
        listen: str,
        adapters: ControlAdapters,
        metrics: Metrics,
        read_health: Callable[[], Health],
        read_leader: Callable[[], str | None],
        guard: ResourceGuard,
    ) -> None:
        """Store the parameters."""
        self._listen = listen
        self._adapters = adapters
        self._metrics = metrics
        self._read_health = read_health
        self._read_leader = read_leader
        self._guard = guard

    def build(
        self, gateway: OperatorGateway, submit: Callable[[ControlInput], None]
    ) -> tuple[Service, ...]:
        """Build the services in start order; the operators' endpoints start last.

        :param gateway: passes requests of operators to the engine.
        :param submit: takes the inputs of the engine.
        """
        operator_services, routes = self._adapters.build_operators(gateway, self._read_leader)
        services = self._adapters.build_services(gateway, self._read_leader, submit, self._guard)
        server = HttpServer(self._listen, routes, self._metrics, self._read_health, self._guard)
        return (*operator_services, *services, server)
