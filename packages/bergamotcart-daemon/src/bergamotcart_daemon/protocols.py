"""Default protocols: MySQL to callers and targets, HTTP to operators and target administration."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from bergamotcart import entry
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.announcements import AnnouncementApi
from bergamotcart_daemon.callers import CallerServer
from bergamotcart_daemon.control import ControlAdapters, ControlDaemon
from bergamotcart_daemon.entry import CallerFrontend, EntryAdapters, EntryDaemon
from bergamotcart_daemon.http_admin import HttpTargetAdmin
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.operator_api import OperatorApi
from bergamotcart_daemon.operators import OperatorGateway
from bergamotcart_daemon.orders import TargetAdmin
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.runtime import Daemon, read_clock
from bergamotcart_daemon.settings import ControlSettings, MysqlEntrySettings
from bergamotcart_daemon.targets import TargetDriver
from bergamotcart_daemon.targets._mysql_driver import MysqlDriver
from bergamotcart_daemon.targets._position_dialect import ReplicationPositionDialect


class MysqlEntryAdapters(EntryAdapters):
    """Default protocols of an entry: MySQL to callers and targets, and HTTP announcements."""

    def __init__(self, settings: MysqlEntrySettings) -> None:
        """Store the settings."""
        self._settings = settings

    def build_callers(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
        guard: ResourceGuard,
    ) -> CallerFrontend:
        """Build a MySQL server."""
        return CallerServer(self._settings.mysql_listen, metrics, submit, guard)

    def build_driver(self, guard: ResourceGuard) -> TargetDriver:
        """Build a MySQL client."""
        return MysqlDriver(ReplicationPositionDialect(), self._settings.connect_timeout)

    def build_routes(
        self,
        metrics: Metrics,
        submit: Callable[[entry.EntryInput], None],
    ) -> tuple[web.RouteDef, ...]:
        """Build the route for announcements of targets."""
        return AnnouncementApi(metrics, read_clock, submit).build_routes()


class HttpControlAdapters(ControlAdapters):
    """Default protocols of a control member: HTTP to operators and targets."""

    def __init__(self, settings: ControlSettings) -> None:
        """Store the settings."""
        self._settings = settings

    def build_admin(self) -> TargetAdmin:
        """Build an HTTP client for the administration addresses of targets."""
        return HttpTargetAdmin(AddressTranslation(self._settings.address_translation))

    def build_operators(
        self,
        gateway: OperatorGateway,
        read_leader: Callable[[], str | None],
    ) -> tuple[tuple[Service, ...], tuple[web.RouteDef, ...]]:
        """Build the operators' service and its routes."""
        api = OperatorApi(self._settings.operator_address, read_leader, gateway)
        return (api,), api.build_routes()


def build_daemon(settings: MysqlEntrySettings | ControlSettings) -> Daemon:
    """Build the daemon of a role with the default protocols.

    :param settings: checked settings of the role.
    """
    if isinstance(settings, ControlSettings):
        return ControlDaemon(settings, HttpControlAdapters(settings))
    return EntryDaemon(settings, MysqlEntryAdapters(settings))
