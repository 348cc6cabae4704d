"""Configuration, outbox and status of the control engine."""

from dataclasses import dataclass

from bergamotcart.control._events import ControlAction


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlConfig:
    """What a control engine is told at start.

    :param initial_members: name, inter-process address and availability zone of the
        members that form the replicated log when every data folder is empty.
    :param admin_token: bearer token of the administrator.
    :param election_timeout_s: least and greatest election timeout, in seconds.
    :param seed: seed of the engine's random numbers.
    """

    name: str
    availability_zone: str
    address: str
    initial_members: tuple[tuple[str, str, str], ...]
    admin_token: str
    lease_duration_s: float = 1.0
    lease_renewal_s: float = 0.25
    drift_margin: float = 0.02
    silence_timeout_s: float = 0.8
    refused_grace_s: float = 0.15
    leader_heartbeat_s: float = 0.1
    election_timeout_s: tuple[float, float] = (0.4, 0.8)
    seed: int = 0


@dataclass(frozen=True, slots=True)
class ControlOutbox:
    """Result of a step.

    :param next_tick: time in seconds at which the next step is due without any input.
    """

    actions: tuple[ControlAction, ...] = ()
    next_tick: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlStatus:
    """Figures for health checks, metrics and forwarding.

    :param leader: name of the leader that this member knows, if any.
    :param leads: true while this member may serve reads and grant leases.
    """

    leader: str | None
    leads: bool
    voter: bool
    term: int
    commit_index: int
    revision: int
