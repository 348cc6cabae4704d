"""Interface that builds the adapters of a control member; an embedding program may replace it."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from bergamotcart.control import ControlInput
from bergamotcart_daemon.operators import OperatorGateway
from bergamotcart_daemon.orders import TargetAdmin
from bergamotcart_daemon.resources import ResourceGuard

if TYPE_CHECKING:
    # Elections and leases would otherwise wait for the HTTP library to be loaded.
    from aiohttp import web


class ControlAdapters(abc.ABC):
    """Builds the adapters for the protocols towards targets and operators."""

    @abc.abstractmethod
    def build_admin(self) -> TargetAdmin:
        """Build the service that sends orders to targets."""

    @abc.abstractmethod
    def build_operators(
        self,
        gateway: OperatorGateway,
        read_leader: Callable[[], str | None],
    ) -> 'tuple[tuple[Service, ...], tuple[web.RouteDef, ...]]':
        """Build the operators' interface.

        :param gateway: passes requests to the engine.
        :param read_leader: returns the name of the leader, or ``None`` if it is not known.
        :returns: services to start after the engine, and routes of the HTTP server.
        """

    def build_services(
        self,
        gateway: OperatorGateway,
        read_leader: Callable[[], str | None],
        submit: Callable[[ControlInput], None],
        guard: ResourceGuard,
    ) -> tuple[Service, ...]:
        """Build additional services that use HTTP, which start last; none by default."""
        return ()
