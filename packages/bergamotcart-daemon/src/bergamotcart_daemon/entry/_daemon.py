"""Process of the entry role."""

import importlib
import random
import secrets
from collections.abc import Callable, Iterable
from typing import Any

from mode import Service

from bergamotcart import entry
from bergamotcart.actions import Decision, Send
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.entry._adapters import EntryAdapters
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.logs import DecisionLog
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.runtime import Daemon, DeferredServices, EngineLoop, read_clock
from bergamotcart_daemon.settings import AnnouncementPlace, EntrySettings
from bergamotcart_daemon.targets import Targets, TargetSettings
from bergamotcart_daemon.transport import Identity, Transport

_SEED_BITS = 63
_HTTP_MODULE = 'bergamotcart_daemon.entry._http_services'
# A module takes some milliseconds of half a core, so most of the processor is left to callers.
_HTTP_LOADING_PAUSE_S = 0.01
_INCARNATION_BYTES = 8
# With this share, a probe that is due in 0.25 s may start 0.06 s late. The wait of a request, which
# is short, grows by a quarter at most, which is negligible.
_TICK_SLACK_SHARE = 0.25


class EntryDaemon(Daemon):
    """Connects an entry engine to callers, targets, peers and the platform."""

    def __init__(self, settings: EntrySettings, adapters: EntryAdapters) -> None:
        """Build the engine and its adapters without opening connections."""
        super().__init__()
        self._settings = settings
        configuration = _build_configuration(settings)
        self._engine = entry.EntryEngine(configuration)
        self._metrics = Metrics(self._read_gauges)
        limits = settings.limits
        self._guard = ResourceGuard.build(limits, limits.entry_shares, self._metrics)
        self.exit_stack.callback(self._guard.budget.close)
        self._decision_log = DecisionLog()
        self.exit_stack.callback(self._decision_log.flush)
        self._engine_loop = EngineLoop(self._engine, _TICK_SLACK_SHARE)
        translation = AddressTranslation(settings.address_translation)
        submit = self._engine_loop.submit
        self._transport = Transport(
            settings.peer_listen,
            Identity(
                settings.control_domain,
                configuration.name,
                configuration.incarnation,
                configuration.address,
            ),
            translation,
            self._metrics,
            submit,
            self._guard,
        )
        target_settings = TargetSettings(
            translation=translation,
            connect_timeout_s=settings.connect_timeout,
            driver=adapters.build_driver(self._guard),
        )
        self._targets = Targets(target_settings, submit)
        self._caller_frontend = adapters.build_callers(self._metrics, submit, self._guard)
        self._adapters = adapters
        self._http_services = DeferredServices(
            _HTTP_MODULE,
            self._build_http_services,
            lambda: self._read_health().serving,
            _HTTP_LOADING_PAUSE_S,
        )
        self._engine_loop.set_action_handlers(self._build_handlers())

    def on_init_dependencies(self) -> Iterable[Service]:
        """Start the server for callers after what it needs, and the HTTP services last."""
        core_services = (self._transport, self._targets, self._engine_loop)
        return (*core_services, self._caller_frontend, self._http_services)

    def change_contact_points(self, members: dict[str, str]) -> None:
        """Notify the engine that the settings name other control members.

        :param members: inter-process addresses by name.
        """
        self._engine_loop.submit(entry.ContactPointsChanged(tuple(members.items())))

    def begin_shutdown(self) -> None:
        """Ask the engine to drain, which it completes with ``Drained``."""
        limit = self._settings.drain_limit
        self._engine_loop.submit(entry.DrainRequested(self._settings.drain_notice, limit))

    def _build_http_services(self) -> tuple[Service, ...]:
        module = importlib.import_module(_HTTP_MODULE)
        return module.build_http_services(
            self._settings.http_listen,
            self._adapters,
            self._metrics,
            self._read_health,
            self._engine_loop.submit,
            self._guard,
        )

    def _build_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            Send: self._transport.send,
            Decision: self._record_decision,
            entry.Execute: self._targets.execute,
            entry.Probe: self._targets.probe,
            entry.ReleasePin: self._targets.release_pin,
            entry.LimitConnections: self._targets.limit_connections,
            entry.Reply: self._caller_frontend.reply,
            entry.SessionAnswer: self._caller_frontend.answer_session,
            entry.CloseSession: self._caller_frontend.close_session,
            entry.Drained: self._finish_after_drain,
        }

    def _record_decision(self, decision: Decision) -> None:
        self._metrics.count_decision(decision)
        self._decision_log.write(decision)

    def _finish_after_drain(self, action: entry.Drained) -> None:
        self.complete_shutdown()

    def _read_health(self) -> Health:
        status = self._engine.status(read_clock())
        health = entry.EntryHealth.draining if self.stop_requested else status.health
        return Health(
            health == entry.EntryHealth.serving,
            {
                'state': health,
                'lease_left_s': round(status.lease_left_s, 3),
                'applied_index': status.applied_index,
                'revision': status.revision,
                'groups': status.groups,
            },
        )

    def _read_gauges(self) -> dict[str, float]:
        status = self._engine.status(read_clock())
        gauges = {
            **self._guard.read_gauges(),
            'lease_left_s': status.lease_left_s,
            'applied_index': status.applied_index,
            'state_age_seconds': status.state_age_s,
            'revision': status.revision,
            'sessions': status.sessions,
            'requests': status.requests,
            'open_connections': status.open_connections,
            'opened_connections': status.opened_connections,
            'cap_admitted': status.cap_admitted,
            'cap_refused': status.cap_refused,
            'serving': int(status.health == entry.EntryHealth.serving),
        }
        if status.cross_zone_share is not None:
            gauges['cross_zone_share'] = status.cross_zone_share
            gauges['cross_zone_reads'] = status.cross_zone_reads
        return gauges


def _build_configuration(settings: EntrySettings) -> entry.EntryConfiguration:
    return entry.EntryConfiguration(
        name=settings.name,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        availability_zone=settings.availability_zone,
        address=settings.advertised_address,
        control_members=tuple(settings.control_member.items()),
        session_key=settings.session_key,
        zone_regions=settings.zone_region,
        target_expiry_s=settings.target_expiry,
        targets_announce_to_control=settings.announce_to is AnnouncementPlace.control,
        silence_timeout_s=settings.silence_timeout,
        statement_timeout_s=settings.statement_timeout,
        seed=random.SystemRandom().getrandbits(_SEED_BITS),
    )
