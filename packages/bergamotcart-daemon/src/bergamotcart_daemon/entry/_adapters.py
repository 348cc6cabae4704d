"""The outside protocols of an entry, which an embedder may replace."""

import abc
from collections.abc import Callable

from aiohttp import web
from mode import Service

from bergamotcart import entry
from bergamotcart_daemon.http import Health
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.targets import TargetDriver


class CallerFrontend(Service):
    """Server that callers connect to; its statements go to the entry engine."""

    @abc.abstractmethod
    def reply(self, action: entry.Reply) -> None:
        """Answer a request; the answer to a caller that has left is dropped."""

    def answer_session(self, action: entry.SessionAnswer) -> None:
        """Tell a caller whether its session may go on, if it has selected a database name."""
        raise NotImplementedError(f'sessions of this protocol use no routes: {action}')

    def close_session(self, action: entry.CloseSession) -> None:
        """Close the connection of a session in which nothing is going on."""
        raise NotImplementedError(f'sessions of this protocol use no routes: {action}')


class EntryAdapters(abc.ABC):
    """Builds the outside protocols of an entry."""

    @abc.abstractmethod
    def build_callers(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
    ) -> CallerFrontend:
        """Build the server for callers."""

    @abc.abstractmethod
    def build_driver(self) -> TargetDriver:
        """Build what speaks with targets."""

    def build_routes(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
    ) -> tuple[web.RouteDef, ...]:
        """Build further routes of the HTTP server."""
        return ()

    def build_services(self, read_health: Callable[[], Health]) -> tuple[Service, ...]:
        """Build further services, which start after the engine."""
        return ()
