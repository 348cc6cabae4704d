"""Typed settings of both roles, independent of their source."""

import enum
from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar

from bergamotcart.resources import ResourceLimits


@enum.unique
class Role(enum.StrEnum):
    """Role of a process."""

    entry = 'entry'
    control = 'control'


@enum.unique
class AnnouncementPlace(enum.StrEnum):
    """Processes to which targets announce themselves."""

    entry = 'entry'
    control = 'control'


@dataclass(frozen=True, slots=True, kw_only=True)
class CommonSettings:
    """Settings of both roles; times are in seconds.

    :param control_member: inter-process addresses of known control members by name.
    :param operator_address: HTTP addresses of control members by name.
    :param address_translation: addresses to connect to, by advertised address.
    :param silence_timeout: time without an answer after which a target counts as unreachable.
    :param target_expiry: age at which an announcement expires.
    :param limits: limits on memory, descriptors and connections of the process.
    """

    name: str
    availability_zone: str
    peer_listen: str
    http_listen: str
    control_member: dict[str, str]
    control_domain: str = 'default'
    peer_advertise: str | None = None
    operator_address: dict[str, str] = field(default_factory=dict)
    address_translation: dict[str, str] = field(default_factory=dict)
    silence_timeout: float = 0.8
    announce_to: AnnouncementPlace = AnnouncementPlace.entry
    target_expiry: float = 3.0
    limits: ResourceLimits = ResourceLimits()
    log_level: str = 'info'

    @property
    def advertised_address(self) -> str:
        """Address at which peers reach this process."""
        return self.peer_advertise or self.peer_listen


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(CommonSettings):
    """Settings of the role entry, independent of the protocol of its callers.

    :param session_key: secret that authenticates session tokens.
    :param zone_region: regions of availability zones by name.
    :param drain_notice: time for which a draining entry still accepts new sessions.
    :param drain_limit: time after which a draining entry rolls back open transactions;
        ``None`` sets no limit.
    """

    role: ClassVar[Role] = Role.entry
    session_key: bytes = field(repr=False)
    zone_region: dict[str, str] = field(default_factory=dict)
    connect_timeout: float = 0.5
    statement_timeout: float = 30.0
    drain_notice: float = 0.0
    drain_limit: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class MysqlEntrySettings(EntrySettings):
    """Settings of an entry whose callers speak the MySQL protocol."""

    mysql_listen: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings(CommonSettings):
    """Settings of the role control.

    :param control_zone: availability zones of the initial control members by name.
    :param found_domain: whether the control members may form a new control domain.
    :param tolerated_losses: members that may fail at the same time; ``None`` leaves all changes
        of members to the operator.
    :param cap_window: time in which the operations of a capped workspace are counted.
    :param cap_overage: share by which they may exceed those of the cap in it.
    :param cap_slack: number of operations by which they may exceed the cap besides.
    :param cross_zone_cost_ms: milliseconds that a read must save in another availability zone,
        where the operator document states none; ``None`` for no price.
    """

    role: ClassVar[Role] = Role.control
    data_folder: Path
    admin_token: str = field(repr=False)
    control_zone: dict[str, str] = field(default_factory=dict)
    found_domain: bool = True
    tolerated_losses: int | None = None
    cross_zone_cost_ms: float | None = None
    lease_duration: float = 1.0
    lease_renewal: float = 0.25
    leader_heartbeat: float = 0.1
    election_timeout_min: float = 0.4
    election_timeout_max: float = 0.8
    cap_window: float = 5.0
    cap_overage: float = 0.1
    cap_slack: int = 20
