"""Addresses and command lines of all processes of a deployment."""

from dataclasses import dataclass, field
from itertools import starmap
from pathlib import Path
from typing import Final

from bergamotcart_testkit.addresses import Address, free_addresses
from bergamotcart_testkit.deployment._layout import Layout
from bergamotcart_testkit.deployment._network import Network
from bergamotcart_testkit.deployment._process import ManagedProcess

ADMIN_TOKEN: Final = 'administrator-of-the-test'
SESSION_KEY: Final = 'session-key-of-the-test-deployment'
_DAEMON: Final = ('-m', 'bergamotcart_daemon.main')
_TARGET: Final = ('-m', 'bergamotcart_testkit.target')


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlPlan:
    """A control process."""

    name: str
    availability_zone: str
    peer: Address
    http: Address
    process: ManagedProcess


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryPlan:
    """An entry process.

    :param mysql: listening address.
    :param callers: address that callers connect to, behind their link.
    """

    name: str
    availability_zone: str
    http: Address
    mysql: Address
    callers: Address
    process: ManagedProcess


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetPlan:
    """A stand-in target."""

    name: str
    group: str
    availability_zone: str
    mysql: Address
    admin: Address
    history_file: Path
    process: ManagedProcess


@dataclass(slots=True, kw_only=True)
class Plan:
    """All processes of a deployment, with their addresses and command lines."""

    layout: Layout
    folder: Path
    network: Network
    extra_control: tuple[str, ...] = ()
    controls: list[ControlPlan] = field(default_factory=list)
    entries: list[EntryPlan] = field(default_factory=list)
    targets: list[TargetPlan] = field(default_factory=list)
    _control_peers: dict[str, tuple[str, Address, Address]] = field(default_factory=dict)
    _entry_http: dict[str, list[str]] = field(default_factory=dict)

    def plan_processes(self) -> None:
        """Plan all processes; reserve their addresses first, since command lines contain them."""
        zones = self.layout.availability_zones
        for control_zone in zones:
            self._reserve_control(f'control-{control_zone}', control_zone)
        numbers = range(1, self.layout.entries_per_zone + 1)
        entries = [
            self._reserve_entry(f'entry-{zone}-{number}', zone)
            for zone in zones
            for number in numbers
        ]
        targets = [
            self._reserve_target(group, zone) for group in self.layout.groups for zone in zones
        ]
        self.controls.extend(map(self._plan_control, self._control_peers))
        self.entries.extend(starmap(self._plan_entry, entries))
        self.targets.extend(starmap(self._plan_target, targets))

    def _reserve_control(self, name: str, zone: str) -> None:
        peer = self.network.reserve_endpoint(name, 'peer', zone)
        self._control_peers[name] = (zone, peer, self.network.reserve_endpoint(name, 'http', zone))

    def _reserve_entry(
        self, name: str, zone: str
    ) -> tuple[str, str, Address, Address, tuple[Address, Address]]:
        peer = self.network.reserve_endpoint(name, 'peer', zone)
        http = next(self.network.free_addresses)
        self._entry_http.setdefault(zone, []).append(str(http))
        return name, zone, peer, http, self.network.reserve_caller_endpoint(name, zone)

    def _reserve_target(self, group: str, zone: str) -> tuple[str, str, Address, Address]:
        name = f'{group}-{zone}'
        mysql = self.network.reserve_endpoint(name, 'mysql', zone)
        return group, zone, mysql, self.network.reserve_endpoint(name, 'admin', zone)

    def _make_process(
        self, name: str, program: tuple[str, ...], options: tuple[str, ...]
    ) -> ManagedProcess:
        return ManagedProcess(name, program + options, self.folder / name)

    def _member_options(self) -> tuple[str, ...]:
        return tuple(
            part
            for name, (_, peer, _) in self._control_peers.items()
            for part in ('--control-member', f'{name}={peer}')
        )

    def _plan_control(self, name: str) -> ControlPlan:
        zone, peer, http = self._control_peers[name]
        zones = [f'{other}={reserved[0]}' for other, reserved in self._control_peers.items()]
        operators = [
            f'{other}={self.network.address_from(zone, reserved[2])}'
            for other, reserved in self._control_peers.items()
        ]
        options = _common_options('control', name, zone, peer, http)
        options += self._member_options()
        options += _repeat_option('--control-zone', zones)
        options += _repeat_option('--operator-address', operators)
        options += ('--data-folder', str(self.folder / name / 'data'))
        options += ('--admin-token', ADMIN_TOKEN)
        options += self.network.translation_options(zone)
        process = self._make_process(name, _DAEMON, options + self.extra_control)
        return ControlPlan(name=name, availability_zone=zone, peer=peer, http=http, process=process)

    def _plan_entry(
        self, name: str, zone: str, peer: Address, http: Address, mysql: tuple[Address, Address]
    ) -> EntryPlan:
        listen, callers = mysql
        options = _common_options('entry', name, zone, peer, http)
        options += self._member_options()
        options += ('--mysql-listen', str(listen), '--session-key', SESSION_KEY)
        options += self.network.translation_options(zone)
        process = self._make_process(name, _DAEMON, options)
        return EntryPlan(
            name=name,
            availability_zone=zone,
            http=http,
            mysql=listen,
            callers=callers,
            process=process,
        )

    def _plan_target(self, group: str, zone: str, mysql: Address, admin: Address) -> TargetPlan:
        layout = self.layout
        name = f'{group}-{zone}'
        history_file = self.folder / name / 'history.jsonl'
        options = ('--group', group, '--instance', name, '--availability-zone', zone)
        options += ('--mysql-listen', str(mysql), '--admin-listen', str(admin))
        options += ('--slots', str(layout.slots), '--connections', str(layout.connections))
        options += ('--connect-delay', str(layout.connect_delay))
        options += ('--execution-time', str(layout.execution_time))
        options += ('--data-folder', str(self.folder / name / 'data'))
        options += ('--history-file', str(history_file))
        options += _repeat_option('--entry', self._entry_http.get(zone, []))
        options += self.network.translation_options(zone)
        process = self._make_process(name, _TARGET, options)
        return TargetPlan(
            name=name,
            group=group,
            availability_zone=zone,
            mysql=mysql,
            admin=admin,
            history_file=history_file,
            process=process,
        )


def make_plan(layout: Layout, folder: Path, extra_control: tuple[str, ...] = ()) -> Plan:
    """Plan a deployment.

    :param folder: folder for logs and data.
    :param extra_control: further options of the control processes.
    """
    network = Network(layout, free_addresses())
    plan = Plan(layout=layout, folder=folder, network=network, extra_control=extra_control)
    plan.plan_processes()
    return plan


def _common_options(
    role: str, name: str, zone: str, peer: Address, http: Address
) -> tuple[str, ...]:
    options: tuple[str, ...] = ('--role', role, '--name', name, '--availability-zone', zone)
    return (*options, '--peer-listen', str(peer), '--http-listen', str(http))


def _repeat_option(option: str, arguments: list[str]) -> tuple[str, ...]:
    return tuple(part for argument in arguments for part in (option, argument))
