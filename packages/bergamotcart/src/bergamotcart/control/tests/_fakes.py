"""Fake entries, targets, clocks and disks for tests of the control engine."""

from dataclasses import dataclass, field

from bergamotcart import control, messages

GROUP = 'tickets'
DRIFT_MARGIN = 0.02


@dataclass(slots=True)
class Clock:
    """A clock with its own rate and offset relative to the time of the simulation."""

    rate: float = 1.0
    offset: float = 100.0

    def local_time(self, time: float) -> float:
        """Return the time on this clock at a time of the simulation."""
        return self.offset + time * self.rate

    def simulation_time(self, clock_time: float) -> float:
        """Return the time of the simulation at a time on this clock."""
        return (clock_time - self.offset) / self.rate


@dataclass(slots=True)
class FakeDisk:
    """Durable content of a control member's data folder."""

    hard: control.HardState
    snapshot: control.Snapshot | None = None
    records: list[messages.LogEntry] = field(default_factory=list)

    def write(self, batch: control.WriteBatch) -> None:
        """Apply a batch to the content."""
        self.hard = batch.hard_state or self.hard
        if batch.truncate_from is not None:
            self.records = [row for row in self.records if row.index < batch.truncate_from]
        self.records.extend(batch.records)
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
            self.records = [row for row in self.records if row.index > batch.snapshot.last_index]

    @property
    def stored_bytes(self) -> int:
        """Bytes of the commands and of the snapshot."""
        snapshot_bytes = len(self.snapshot.state) if self.snapshot else 0
        return snapshot_bytes + sum(len(row.command) for row in self.records)

    def load(self) -> control.DurableState:
        """Return the content that a member loads when it starts."""
        return control.DurableState(
            hard_state=self.hard,
            snapshot=self.snapshot,
            records=tuple(self.records),
        )


@dataclass(slots=True)
class FakeTarget:
    """An instance whose log is a list of (term, write) records.

    :param isolated: whether only writes reach it, but no orders, probes or replication.
    :param lagging: whether replication to it is stopped.
    :param leaving: whether it announces that it leaves.
    :param announcements_lost: whether its announcements reach no entry.
    :param stop_status: answer to the newest order to stop following.
    """

    name: str
    zone: str
    alive: bool = True
    isolated: bool = False
    lagging: bool = False
    leaving: bool = False
    announcements_lost: bool = False
    role: messages.TargetRole = messages.TargetRole.replica
    term: int = 0
    following: str | None = None
    log: list[tuple[int, str]] = field(default_factory=list)
    sequence: int = 0
    starts: int = 1
    stop_status: control.InstanceStatus | None = None

    @property
    def log_term(self) -> int:
        """Term of the last record."""
        return self.log[-1][0] if self.log else 0

    @property
    def is_serving(self) -> bool:
        """Whether it accepts writes, including those of entries that control has removed."""
        return self.alive and self.role == messages.TargetRole.primary

    def status(self, *, accepted: bool = True) -> control.InstanceStatus:
        """Return the answer to an order."""
        return control.InstanceStatus(
            group=GROUP,
            instance=self.name,
            role=self.role,
            term=self.term,
            log_term=self.log_term,
            position=len(self.log),
            following=self.following,
            accepted=accepted,
        )

    def execute_order(self, order: control.Order) -> control.InstanceStatus:
        """Execute an order; repeating one has no further effect."""
        if order.kind == control.OrderKind.status:
            return self.status()
        if order.term < self.term:
            return self.status(accepted=False)
        if order.kind == control.OrderKind.stop_following:
            return self._stop_following(order.term)
        self.term = order.term
        if order.kind == control.OrderKind.promote:
            if self.log_term < order.term:
                self.log.append((order.term, f'first of {order.term}'))
            self.role = messages.TargetRole.primary
            self.following = None
        elif self.role == messages.TargetRole.replica or self.log_term < order.term:
            self.role = messages.TargetRole.replica
            self.following = order.primary
        return self.status()

    def replicate_from(self, primary: 'FakeTarget') -> None:
        """Copy the log of the primary and discard records that the primary does not have."""
        if primary.role != messages.TargetRole.primary:
            return
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        self.log = self.log[:common] + primary.log[common:]

    def announce(self) -> messages.Announcement:
        """Return the next announcement."""
        self.sequence += 1
        return messages.Announcement(
            group=GROUP,
            instance=self.name,
            availability_zone=self.zone,
            address=f'{self.name}:3306',
            admin_address=f'{self.name}:80',
            role=self.role,
            term=self.term,
            log_term=self.log_term,
            position=len(self.log),
            slots=4,
            connection_limit=35,
            incarnation=f'{self.name}-{self.starts}',
            sequence=self.sequence,
            leaving=self.leaving,
            following=self.following,
        )

    def restart(self) -> None:
        """Restart with the same log, as a replica that follows no primary."""
        self.alive = True
        self.leaving = False
        self.starts += 1
        self.sequence = 0
        self.role = messages.TargetRole.replica
        self.following = None

    def _stop_following(self, term: int) -> control.InstanceStatus:
        if self.stop_status is None or self.stop_status.term < term:
            self.term = term
            self.role = messages.TargetRole.replica
            self.following = None
            self.stop_status = self.status()
        return self.stop_status


@dataclass(slots=True)
class FakeEntry:
    """An entry that follows the rules for the holder of a lease.

    :param unreachable_targets: targets that it observes as silent.
    :param lease_end: time on its own clock at which its lease ends.
    :param needs_whole_state: whether it asks for all rows.
    :param granted_index: state index of the newest grant.
    :param request_times: times on its own clock at which it sent lease requests.
    :param observations: reachability of each target, and the time since which it is observed.
    """

    name: str
    clock: Clock
    starts: int = 1
    paused: bool = False
    unreachable_targets: frozenset[str] = frozenset()
    applied_index: int = 0
    revision: int = 0
    needs_whole_state: bool = False
    lease_end: float = 0
    granted_index: int = 0
    groups: dict[str, messages.GroupRow] = field(default_factory=dict)
    request_times: set[float] = field(default_factory=set)
    observations: dict[str, tuple[messages.Reachability, float]] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        """Incarnation of this start."""
        return f'{self.name}-{self.starts}'

    def restart(self) -> None:
        """Restart without any state."""
        self.starts += 1
        self.applied_index = 0
        self.revision = 0
        self.lease_end = 0
        self.groups = {}
        self.request_times = set()

    def open_row(self, now: float) -> messages.GroupRow | None:
        """Return the row of the group if the entry may write to it now, or ``None``."""
        row = self.groups.get(GROUP)
        held = self.clock.local_time(now) < self.lease_end
        return row if held and row and row.phase == messages.GroupPhase.open else None

    def observe(self, targets: list[FakeTarget], now: float) -> None:
        """Update the observations of the targets."""
        for target in targets:
            reachability = messages.Reachability.reachable
            if target.isolated or target.name in self.unreachable_targets:
                reachability = messages.Reachability.silent
            elif not target.alive:
                reachability = messages.Reachability.refusing
            if self.observations.get(target.name, (None, 0))[0] != reachability:
                self.observations[target.name] = (reachability, now)

    def build_lease_request(self, now: float) -> messages.LeaseRequest:
        """Return the lease request to send now."""
        sent_at = self.clock.local_time(now)
        self.request_times.add(sent_at)
        return messages.LeaseRequest(
            sent_at=sent_at,
            address=self.name,
            availability_zone=self.name,
            applied_index=self.applied_index,
            revision=self.revision,
            needs_whole_state=self.needs_whole_state,
            reports=tuple(
                messages.TargetReport(
                    group=GROUP,
                    instance=instance,
                    reachability=reachability,
                    for_s=now - since,
                )
                for instance, (reachability, since) in self.observations.items()
            ),
        )

    def receive(self, body: messages.Body) -> messages.StateAck | None:
        """Apply a lease grant or a state update; return the acknowledgement of an update."""
        if isinstance(body, messages.LeaseGrant) and body.echo_sent_at in self.request_times:
            lease_end = body.echo_sent_at + body.duration_s * (1 - DRIFT_MARGIN)
            self.lease_end = max(self.lease_end, lease_end)
            self.granted_index = body.current_index
        if not isinstance(body, messages.StateUpdate):
            return None
        if body.from_index <= self.applied_index < body.to_index:
            assert body.revision >= self.revision, (
                f'the revision fell from {self.revision} to {body.revision}'
            )
            kept = self.groups if body.from_index else {}
            self.groups = kept | {row.name: row for row in body.groups}
            self.applied_index = body.to_index
            self.revision = body.revision
        return messages.StateAck(applied_index=self.applied_index, revision=self.revision)
