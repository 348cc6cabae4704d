"""Interfaces to callers and targets, whose implementations an embedding program may replace."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from bergamotcart import entry
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.targets import TargetDriver

if TYPE_CHECKING:
    # Callers would otherwise wait for the HTTP library to be loaded.
    from aiohttp import web


class CallerFrontend(Service):
    """Server that callers connect to, and that passes their statements to the entry engine."""

    @abc.abstractmethod
    def reply(self, action: entry.Reply) -> None:
        """Complete a request; the outcome is dropped if the caller has disconnected."""

    def answer_session(self, action: entry.SessionAnswer) -> None:
        """Tell a caller that selected a database name whether its session is accepted."""
        raise NotImplementedError(f'this protocol has no routed sessions: {action}')

    def close_session(self, action: entry.CloseSession) -> None:
        """Close the connection of an idle session."""
        raise NotImplementedError(f'this protocol has no routed sessions: {action}')


class EntryAdapters(abc.ABC):
    """Builds the adapters for the protocols of an entry towards callers and targets."""

    @abc.abstractmethod
    def build_callers(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
        guard: ResourceGuard,
    ) -> CallerFrontend:
        """Build the server for callers.

        :param submit: takes the inputs of the engine.
        :param guard: limits of the process.
        """

    @abc.abstractmethod
    def build_driver(self, guard: ResourceGuard) -> TargetDriver:
        """Build the driver for connections to targets.

        :param guard: limits of the process.
        """

    def build_routes(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
    ) -> 'tuple[web.RouteDef, ...]':
        """Build additional routes of the HTTP server."""
        return ()

    def build_services(
        self, read_health: Callable[[], Health], guard: ResourceGuard
    ) -> tuple[Service, ...]:
        """Build additional services that use HTTP, which start after the server for callers."""
        return ()
