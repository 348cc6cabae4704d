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
    :param started_at: time at which the process started, in seconds.
    :param may_found: whether the initial members may form the replicated log.
    :param tolerated_losses: members that may be lost at once; newcomers take part until there
        are enough voters for that, and replace members that are gone. ``None`` leaves all
        changes of members to the operator.
    :param seed: seed of the engine's random numbers.
    :param target_expiry_s: age in seconds from which an announcement counts no more.
    :param targets_announce_here: targets announce themselves to the control members, not to
        the entries.
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
    target_expiry_s: float = 3.0
    targets_announce_here: bool = False
    may_found: bool = True
    started_at: float | None = None
    tolerated_losses: int | None = None


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
