"""Service that owns all connections to targets."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from functools import partial
from typing import Final

import msgspec
from mode import Service

from bergamotcart.discovery import TargetKey
from bergamotcart.entry import (
    ConnectionCount,
    EntryInput,
    Execute,
    LimitConnections,
    Probe,
    ProbeFinished,
    ReleasePin,
)
from bergamotcart.messages import Reachability
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.targets._connection_pool import ConnectionPool
from bergamotcart_daemon.targets._executor import Executor
from bergamotcart_daemon.targets._interfaces import TargetDriver
from bergamotcart_daemon.targets._prober import Prober

_logger = logging.getLogger(__name__)
_PROBER_CHECK_INTERVAL_S: Final = 10.0
# Targets are probed far more often, so a prober unused for this time belongs to a target that
# no longer exists.
_PROBER_IDLE_TIMEOUT_S: Final = 30.0


class TargetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for connections to targets.

    :param translation: maps the advertised addresses of targets to reachable ones.
    :param connect_timeout_s: limit, in seconds, for the probe that follows when an idle probe
        connection breaks.
    :param driver: implements the protocol of the targets.
    """

    translation: AddressTranslation
    connect_timeout_s: float
    driver: TargetDriver


class Targets(Service):
    """Runs executions and probes, and applies connection limits.

    :param submit: takes the inputs of the engine.
    """

    def __init__(self, settings: TargetSettings, submit: Callable[[EntryInput], None]) -> None:
        """Create the service without connections."""
        super().__init__()
        self._settings = settings
        self._submit = submit
        self._pools: dict[TargetKey, ConnectionPool] = {}
        self._limit_actions: dict[TargetKey, LimitConnections] = {}
        self._probers: dict[TargetKey, Prober] = {}
        self._executor = Executor(
            settings.driver,
            submit,
            lambda action: self._get_or_create_pool(action.target, action.address),
        )

    async def on_start(self) -> None:
        """Register a callback that closes all connections when the service stops."""
        self.exit_stack.callback(self._close_all)

    @Service.timer(_PROBER_CHECK_INTERVAL_S)
    async def close_idle_probers(self) -> None:
        """Close the probe connections of targets that are no longer probed."""
        oldest_use = asyncio.get_running_loop().time() - _PROBER_IDLE_TIMEOUT_S
        idle_targets = [
            target for target, prober in self._probers.items() if prober.last_used < oldest_use
        ]
        for target in idle_targets:
            self._probers.pop(target).close()

    def execute(self, action: Execute) -> None:
        """Start an execution."""
        self._executor.start_execution(action)

    def probe(self, action: Probe) -> None:
        """Start a probe; a target whose address is malformed counts as silent."""
        try:
            prober = self._get_or_create_prober(action.target, action.address)
        except ValueError as error:
            _logger.warning('target %s not probed and reported as silent: %s', action.target, error)
            now = asyncio.get_running_loop().time()
            self._submit(ProbeFinished(action.target, now, None, Reachability.silent))
            return
        prober.start_probe(action)

    def release_pin(self, action: ReleasePin) -> None:
        """Close a pinned connection."""
        self._executor.release_pin(action.session_id)

    def limit_connections(self, action: LimitConnections) -> None:
        """Change the connection limit of a target's pool."""
        self._limit_actions[action.target] = action
        with contextlib.suppress(ValueError):
            pool = self._get_or_create_pool(action.target, action.address)
            pool.change_limit(action.limit, action.idle_s, action.kept)
            prober = self._probers.get(action.target)
            if prober is not None:
                prober.keeps_connection = action.idle_s is None

    def _get_or_create_pool(self, target: TargetKey, address: str) -> ConnectionPool:
        translated = self._settings.translation.translate(address)
        pool = self._pools.get(target)
        if pool is not None and pool.address == translated:
            return pool
        if pool is not None:
            pool.close()
        pool = ConnectionPool(
            translated,
            partial(self._settings.driver.connect, target, translated),
            partial(self._report_connection_count, target),
        )
        self._pools[target] = pool
        limit_action = self._limit_actions.get(target)
        if limit_action is not None:
            pool.change_limit(limit_action.limit, limit_action.idle_s, limit_action.kept)
        return pool

    def _get_or_create_prober(self, target: TargetKey, address: str) -> Prober:
        translated = self._settings.translation.translate(address)
        prober = self._probers.get(target)
        if prober is not None and prober.address == translated:
            return prober
        if prober is not None:
            prober.close()
        prober = Prober(
            target,
            translated,
            self._settings.connect_timeout_s,
            self._settings.driver,
            self._submit,
        )
        limit_action = self._limit_actions.get(target)
        prober.keeps_connection = limit_action is None or limit_action.idle_s is None
        self._probers[target] = prober
        return prober

    def _report_connection_count(self, target: TargetKey, count: int) -> None:
        self._submit(ConnectionCount(target, count))

    def _close_all(self) -> None:
        self._executor.close()
        for prober in self._probers.values():
            prober.close()
        for pool in self._pools.values():
            pool.close()
