"""Minimal entries, targets and disks that drive control engines in tests."""

from dataclasses import dataclass, field

from bergamotcart import control, messages

GROUP = 'tickets'
DRIFT_MARGIN = 0.02


@dataclass(slots=True)
class Clock:
    """A clock that runs at its own speed and starts at its own value."""

    rate: float = 1.0
    offset: float = 100.0

    def at(self, time: float) -> float:
        """Return what the clock shows at a time."""
        return self.offset + time * self.rate

    def when(self, shown: float) -> float:
        """Return the time at which the clock shows a value."""
        return (shown - self.offset) / self.rate


@dataclass(slots=True)
class FakeDisk:
    """Durable content of a control member's folder."""

    hard: control.HardState
    snapshot: control.Snapshot | None = None
    records: list[messages.LogEntry] = field(default_factory=list)

    def write(self, batch: control.Persist) -> None:
        """Apply a batch."""
        self.hard = batch.hard or self.hard
        if batch.truncate_from is not None:
            self.records = [row for row in self.records if row.index < batch.truncate_from]
        self.records.extend(batch.records)
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
            self.records = [row for row in self.records if row.index > batch.snapshot.last_index]

    def load(self) -> control.DurableState:
        """Return the content as loaded at a start."""
        return control.DurableState(
            hard=self.hard,
            snapshot=self.snapshot,
            records=tuple(self.records),
        )


@dataclass(slots=True)
class FakeTarget:
    """An instance whose log is a list of (term, write) records."""

    name: str
    zone: str
    alive: bool = True
    isolated: bool = False
    lagging: bool = False
    leaving: bool = False
    unheard: bool = False
    role: messages.TargetRole = messages.TargetRole.replica
    term: int = 0
    following: str | None = None
    log: list[tuple[int, str]] = field(default_factory=list)
    sequence: int = 0
    starts: int = 1
    stopped_at: control.InstanceStatus | None = None

    @property
    def log_term(self) -> int:
        """Term of the last record."""
        return self.log[-1][0] if self.log else 0

    @property
    def is_serving(self) -> bool:
        """Whether it takes writes, also of callers that control has forgotten."""
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

    def obey(self, order: control.Order) -> control.InstanceStatus:
        """Carry out an order; a repeated one has no further effect."""
        if order.kind == control.OrderKind.status:
            return self.status()
        if order.term < self.term:
            return self.status(accepted=False)
        if order.kind == control.OrderKind.stop_following:
            return self._stop(order.term)
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

    def pull(self, primary: 'FakeTarget') -> None:
        """Copy the log of the primary, discarding records that it does not have."""
        if primary.role != messages.TargetRole.primary:
            return
        common = 0
        for mine, other in zip(self.log, primary.log, strict=False):
            if mine != other:
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
        """Come back as a replica that follows nothing, with its log."""
        self.alive = True
        self.leaving = False
        self.starts += 1
        self.sequence = 0
        self.role = messages.TargetRole.replica
        self.following = None

    def _stop(self, term: int) -> control.InstanceStatus:
        if self.stopped_at is None or self.stopped_at.term < term:
            self.term = term
            self.role = messages.TargetRole.replica
            self.following = None
            self.stopped_at = self.status()
        return self.stopped_at


@dataclass(slots=True)
class FakeEntry:
    """An entry that follows the holder's rules of a lease."""

    name: str
    clock: Clock
    starts: int = 1
    paused: bool = False
    blind: frozenset[str] = frozenset()
    applied_index: int = 0
    revision: int = 0
    lease_end: float = 0
    groups: dict[str, messages.GroupRow] = field(default_factory=dict)
    asked_at: set[float] = field(default_factory=set)
    observed: dict[str, tuple[messages.Reachability, float]] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        """Identity of this start."""
        return f'{self.name}-{self.starts}'

    def restart(self) -> None:
        """Forget everything."""
        self.starts += 1
        self.applied_index = 0
        self.revision = 0
        self.lease_end = 0
        self.groups = {}
        self.asked_at = set()

    def open_row(self, now: float) -> messages.GroupRow | None:
        """Return the group's row if the entry may write at this time."""
        row = self.groups.get(GROUP)
        held = self.clock.at(now) < self.lease_end
        return row if held and row and row.phase == messages.GroupPhase.open else None

    def observe(self, targets: list[FakeTarget], now: float) -> None:
        """Probe the targets."""
        for target in targets:
            seen = messages.Reachability.reachable
            if target.isolated or target.name in self.blind:
                seen = messages.Reachability.silent
            elif not target.alive:
                seen = messages.Reachability.refusing
            if self.observed.get(target.name, (None, 0))[0] != seen:
                self.observed[target.name] = (seen, now)

    def ask(self, now: float) -> messages.LeaseRequest:
        """Return a lease request."""
        shown = self.clock.at(now)
        self.asked_at.add(shown)
        return messages.LeaseRequest(
            sent_at=shown,
            address=self.name,
            availability_zone=self.name,
            applied_index=self.applied_index,
            revision=self.revision,
            reports=tuple(
                messages.TargetReport(
                    group=GROUP,
                    instance=instance,
                    reachability=seen,
                    for_s=now - since,
                )
                for instance, (seen, since) in self.observed.items()
            ),
        )

    def receive(self, body: messages.Body) -> messages.StateAck | None:
        """Apply a grant or an update; return an acknowledgement if the state moved."""
        if isinstance(body, messages.LeaseGrant) and body.echo_sent_at in self.asked_at:
            lease_end = body.echo_sent_at + body.duration_s * (1 - DRIFT_MARGIN)
            self.lease_end = max(self.lease_end, lease_end)
        if not isinstance(body, messages.StateUpdate):
            return None
        if body.from_index <= self.applied_index < body.to_index:
            assert body.revision >= self.revision, 'the revision went back'
            kept = self.groups if body.from_index else {}
            self.groups = kept | {row.name: row for row in body.groups}
            self.applied_index = body.to_index
            self.revision = body.revision
        return messages.StateAck(applied_index=self.applied_index, revision=self.revision)
