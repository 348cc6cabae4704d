"""Configuration, step result and status of the entry engine."""

import enum
from collections.abc import Mapping

import msgspec

from bergamotcart.entry._actions import EntryAction


class EntryConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of an entry engine, fixed when it starts.

    :param control_members: name and inter-process address of the initial control members.
    :param session_key: secret that authenticates session tokens.
    :param zone_regions: regions of availability zones by name.
    :param silence_timeout_s: seconds until a silent target counts as unreachable.
    :param drift_margin: greatest relative difference in speed between the clocks of processes.
    :param target_expiry_s: age in seconds from which an announcement is ignored.
    :param targets_announce_to_control: whether targets announce themselves to control members,
        from which this entry pulls them, and not to entries.
    :param seed: seed of the engine's random numbers.
    """

    name: str
    incarnation: str
    availability_zone: str
    address: str
    control_members: tuple[tuple[str, str], ...]
    session_key: bytes
    zone_regions: Mapping[str, str] = msgspec.field(default_factory=dict)
    silence_timeout_s: float = 0.8
    drift_margin: float = 0.02
    target_expiry_s: float = 3.0
    statement_timeout_s: float = 30.0
    targets_announce_to_control: bool = False
    seed: int = 0

    def is_same_region(self, availability_zone: str) -> bool:
        """Tell whether an availability zone is in the region of this process."""
        region = self.zone_regions.get(availability_zone)
        return region is not None and region == self.zone_regions.get(self.availability_zone)


class EntryStepResult(msgspec.Struct, frozen=True):
    """Result of a step.

    :param next_tick: time in seconds at which the next step is due even without any input.
    """

    actions: tuple[EntryAction, ...] = ()
    next_tick: float = 0.0


@enum.unique
class EntryHealth(enum.StrEnum):
    """Health of the entry as reported to the platform's load balancer."""

    serving = 'serving'
    draining = 'draining'
    not_ready = 'not_ready'


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Figures for health checks and metrics.

    :param lease_left_s: seconds until the lease ends; 0 without a lease.
    :param revision: revision of the operator document in force, or 0.
    :param state_age_s: seconds since control confirmed that the applied state was current;
        infinite before the first confirmation.
    :param open_connections: connections to targets that are open or being opened.
    :param opened_connections: connections to targets opened since the start.
    :param cap_admitted: operations of capped workspaces sent to an instance since the start.
    :param cap_refused: operations refused because their workspace had no credit.
    :param cross_zone_share: share of reads that leave the availability zone, or ``None`` if control
        has granted none lately.
    :param cross_zone_reads: reads that instances of other zones answered while shares were granted.
    """

    health: EntryHealth
    lease_left_s: float
    applied_index: int
    revision: int
    sessions: int
    requests: int
    groups: dict[str, str] = msgspec.field(default_factory=dict)
    open_connections: int = 0
    opened_connections: int = 0
    state_age_s: float = 0
    cap_admitted: int = 0
    cap_refused: int = 0
    cross_zone_share: float | None = None
    cross_zone_reads: int = 0
