"""Control member process."""

import importlib
import random
from collections.abc import Callable, Iterable
from typing import Any

from mode import Service

from bergamotcart.actions import Decision, Send
from bergamotcart.control import _events as events
from bergamotcart.control._configuration import ControlConfiguration, ControlStatus
from bergamotcart.control._engine import ControlEngine
from bergamotcart_daemon import storage
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.control._adapters import ControlAdapters
from bergamotcart_daemon.control._batch_writer import BatchWriter
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.logs import DecisionLog
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.operators import OperatorGateway
from bergamotcart_daemon.orders import OrderSender
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.runtime import (
    Daemon,
    DeferredServices,
    EngineLoop,
    read_clock,
    read_process_start,
)
from bergamotcart_daemon.settings import AnnouncementPlace, ControlSettings
from bergamotcart_daemon.transport import Identity, Transport

_SEED_BITS = 63
_HTTP_MODULE = 'bergamotcart_daemon.control._http_services'


class ControlDaemon(Daemon):
    """Connects a control engine to its storage, peers, targets and operators."""

    def __init__(self, settings: ControlSettings, adapters: ControlAdapters) -> None:
        """Load the durable state and build the engine and its adapters."""
        super().__init__()
        state_storage = storage.SqliteStorage(settings.data_folder, settings.control_domain)
        self.exit_stack.callback(state_storage.close)
        durable = state_storage.load()
        self._engine = ControlEngine(_build_configuration(settings), durable)
        self._metrics = Metrics(self._read_gauges)
        limits = settings.limits
        self._guard = ResourceGuard.build(limits, limits.control_shares, self._metrics)
        self.exit_stack.callback(self._guard.budget.close)
        self._decision_log = DecisionLog()
        self.exit_stack.callback(self._decision_log.flush)
        self._engine_loop = EngineLoop(self._engine)
        translation = AddressTranslation(settings.address_translation)
        submit = self._engine_loop.submit
        self._writer = BatchWriter(state_storage.write, submit)
        self._transport = Transport(
            settings.peer_listen,
            Identity(
                settings.control_domain,
                settings.name,
                durable.hard_state.incarnation,
                settings.advertised_address,
            ),
            translation,
            self._metrics,
            submit,
            self._guard,
        )
        self._order_sender = OrderSender(adapters.build_admin(), submit)
        self._gateway = OperatorGateway(submit)
        self._http_listen = settings.http_listen
        self._adapters = adapters
        self._http_services = DeferredServices(
            _HTTP_MODULE, self._build_http_services, lambda: self._read_health().serving
        )
        self._engine_loop.set_action_handlers(self._build_handlers())

    def on_init_dependencies(self) -> Iterable[Service]:
        """Return the services in start order; operators' endpoints start last and stop first."""
        adapters = (self._writer, self._transport, self._order_sender)
        return (*adapters, self._engine_loop, self._http_services)

    def change_contact_points(self, members: dict[str, str]) -> None:
        """Submit the control members that the settings now name to the engine.

        :param members: inter-process addresses by name.
        """
        self._engine_loop.submit(events.ContactPointsChanged(tuple(members.items())))

    def begin_shutdown(self) -> None:
        """Finish at once: the other members continue, and all accepted state is already synced."""
        self.complete_shutdown()

    def _build_http_services(self) -> tuple[Service, ...]:
        module = importlib.import_module(_HTTP_MODULE)
        services = module.ControlHttpServices(
            self._http_listen,
            self._adapters,
            self._metrics,
            self._read_health,
            self._read_leader,
            self._guard,
        )
        return services.build(self._gateway, self._engine_loop.submit)

    def _build_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            Send: self._transport.send,
            Decision: self._record_decision,
            events.WriteBatch: self._writer.write,
            events.Order: self._order_sender.send,
            events.OperatorReply: self._gateway.reply,
        }

    def _record_decision(self, decision: Decision) -> None:
        self._metrics.count_decision(decision)
        self._decision_log.write(decision)

    def _read_status(self) -> ControlStatus:
        return self._engine.status(read_clock())

    def _read_leader(self) -> str | None:
        return self._read_status().leader

    def _read_health(self) -> Health:
        status = self._read_status()
        state = 'serving' if status.leader else 'not_ready'
        if self.stop_requested:
            state = 'draining'
        return Health(
            state == 'serving',
            {
                'state': state,
                'leader': status.leader,
                'leads': status.leads,
                'voter': status.voter,
                'term': status.term,
                'commit_index': status.commit_index,
                'revision': status.revision,
            },
        )

    def _read_gauges(self) -> dict[str, float]:
        status = self._read_status()
        return {
            **self._guard.read_gauges(),
            'leads': int(status.leads),
            'voter': int(status.voter),
            'voters': status.voters,
            'seconds_without_leader': status.seconds_without_leader,
            'term': status.term,
            'commit_index': status.commit_index,
            'revision': status.revision,
            **{f'cross_zone_share_{zone}': share for zone, share in status.zone_shares.items()},
        }


def _build_configuration(settings: ControlSettings) -> ControlConfiguration:
    return ControlConfiguration(
        name=settings.name,
        availability_zone=settings.availability_zone,
        address=settings.advertised_address,
        initial_members=tuple(
            (name, address, settings.control_zone[name])
            for name, address in settings.control_member.items()
        ),
        admin_token=settings.admin_token,
        lease_duration_s=settings.lease_duration,
        lease_renewal_s=settings.lease_renewal,
        silence_timeout_s=settings.silence_timeout,
        target_expiry_s=settings.target_expiry,
        may_bootstrap=settings.found_domain,
        started_at=read_process_start(),
        tolerated_losses=settings.tolerated_losses,
        cap_window_s=settings.cap_window,
        cap_overage=settings.cap_overage,
        cap_slack=settings.cap_slack,
        cross_zone_cost_ms=settings.cross_zone_cost_ms,
        targets_announce_to_control=settings.announce_to is AnnouncementPlace.control,
        leader_heartbeat_interval_s=settings.leader_heartbeat,
        election_timeout_s=(settings.election_timeout_min, settings.election_timeout_max),
        seed=random.SystemRandom().getrandbits(_SEED_BITS),
    )
