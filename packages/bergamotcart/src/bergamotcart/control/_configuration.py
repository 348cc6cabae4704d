"""Settings, outputs and status of the control engine."""

import msgspec

from bergamotcart.control._events import ControlAction


class ControlConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a control engine; durations are in seconds.

    :param address: inter-process address of this member.
    :param initial_members: name, inter-process address and availability zone of the
        members that form the replicated log when every data folder is empty.
    :param admin_token: bearer token of the administrator.
    :param lease_renewal_s: interval at which entries renew their leases.
    :param drift_margin: share by which clocks of two processes may run at different speeds.
    :param silence_timeout_s: time without an answer after which a promotion counts as failed.
    :param refused_grace_s: time for which an entry must observe refused connections before
        this counts as a loss of the target.
    :param election_timeout_s: least and greatest election timeout.
    :param seed: seed of the engine's random numbers.
    :param target_expiry_s: age at which an announcement is no longer valid.
    :param targets_announce_to_control: whether targets announce themselves to the control members
        instead of the entries.
    :param may_bootstrap: whether the initial members may form the replicated log.
    :param started_at: monotonic time at which the process started.
    :param tolerated_losses: number of members that may be lost at once. Newcomers are admitted
        until there are enough voters for that, and replace members that are gone. ``None``
        leaves all changes of members to the operator.
    :param cap_window_s: span in which the operations of a capped workspace are counted.
    :param cap_overage: share by which they may exceed those of the cap in it.
    :param cap_slack: number of operations by which they may exceed the cap besides.
    :param cross_zone_cost_ms: milliseconds that a read must save in another availability zone,
        where the operator document states none; ``None`` for no price.
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
    leader_heartbeat_interval_s: float = 0.1
    election_timeout_s: tuple[float, float] = (0.4, 0.8)
    seed: int = 0
    target_expiry_s: float = 3.0
    targets_announce_to_control: bool = False
    may_bootstrap: bool = True
    started_at: float | None = None
    tolerated_losses: int | None = None
    cap_window_s: float = 5.0
    cap_overage: float = 0.1
    cap_slack: int = 20
    cross_zone_cost_ms: float | None = None


class ControlStepResult(msgspec.Struct, frozen=True):
    """Result of a step.

    :param actions: actions to perform, in order.
    :param next_tick: time in seconds at which the next step is due if no input arrives before.
    """

    actions: tuple[ControlAction, ...] = ()
    next_tick: float = 0.0


class ControlStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status for health checks, metrics and the forwarding of requests.

    :param leader: name of the leader that this member knows of, if any.
    :param leads: whether this member may serve reads and grant leases.
    :param voter: whether this member is a voter of the replicated log.
    :param voters: number of voters of the replicated log.
    :param seconds_without_leader: seconds for which this member has known no leader.
    :param revision: revision of the document that this member has applied.
    :param zone_shares: share of the reads that leave each availability zone, as the leader has
        decided where a price of traffic between zones is stated.
    """

    leader: str | None
    leads: bool
    voter: bool
    term: int
    commit_index: int
    revision: int
    voters: int = 0
    seconds_without_leader: float = 0
    zone_shares: dict[str, float] = msgspec.field(default_factory=dict)
