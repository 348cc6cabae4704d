"""Fake control with leases, freezing and failover, for tests of the engine."""

from bergamotcart import messages
from bergamotcart.entry.tests.fake_targets import GROUP, FakeTarget, Record

LEASE_DURATION_S = 1.0
# Control waits longer than it grants, since clocks may run at different speeds.
LEASE_DURATION_FACTOR = 1.02
_GROUPS_SECTION = f'groups: {{{GROUP}: {{instances: 3}}}}'


class FakeControl:
    """One control process that never fails; ``reachable`` tells whether messages arrive."""

    def __init__(self, targets: dict[str, FakeTarget]) -> None:
        self.targets = targets
        self.reachable = True
        self.index = 2
        self.frozen_index = 0
        self.last_closed_term = 0
        self.leases: dict[str, float] = {}
        self.acknowledged_index: dict[str, int] = {}
        self.entries: dict[str, messages.EntryRow] = {}
        self.policies = 'policies: []'
        self.row = messages.GroupRow(
            name=GROUP, term=1, phase=messages.GroupPhase.open, primary='a', modified_index=1
        )

    @property
    def primary(self) -> FakeTarget:
        """Return the current primary."""
        return self.targets[self.row.primary or '']

    def receive(self, now: float, envelope: messages.Envelope) -> list[messages.Body]:
        """Return the replies to a message of an entry."""
        body, name = envelope.body, envelope.sender
        if isinstance(body, messages.StateAck):
            self.acknowledged_index[name] = max(
                self.acknowledged_index.get(name, 0), body.applied_index
            )
        if not isinstance(body, messages.LeaseRequest):
            return []
        if name not in self.entries:
            self.index += 1
            self.entries[name] = messages.EntryRow(
                name=name,
                incarnation=envelope.incarnation,
                availability_zone=body.availability_zone,
                address=body.address,
            )
        replies: list[messages.Body] = []
        if body.applied_index < self.index:
            replies.append(self.update())
        if body.applied_index >= self.frozen_index:
            until = now + LEASE_DURATION_S * LEASE_DURATION_FACTOR
            self.leases[name] = max(self.leases.get(name, 0), until)
            replies.append(
                messages.LeaseGrant(
                    echo_sent_at=body.sent_at,
                    duration_s=LEASE_DURATION_S,
                    renew_after_s=0.25,
                    control_term=1,
                    current_index=self.index,
                )
            )
        return replies

    def update(self) -> messages.StateUpdate:
        """Return the whole state."""
        sections = (
            messages.SectionRow(name='databases', kind='groups', version=1, body=_GROUPS_SECTION),
            messages.SectionRow(name='app', kind='policies', version=1, body=self.policies),
        )
        return messages.StateUpdate(
            control_term=1,
            from_index=0,
            to_index=self.index,
            revision=1,
            entries_limit=2,
            groups=(self.row,),
            sections=sections,
            entries=tuple(self.entries.values()),
        )

    def freeze(self) -> None:
        """Freeze the group, which begins the replacement of its primary."""
        self.index += 1
        self.frozen_index = self.index
        self._update_row(phase=messages.GroupPhase.frozen)

    def is_frozen_everywhere(self, now: float) -> bool:
        """Tell whether no entry may still acknowledge a write of the frozen term."""
        return all(
            self.acknowledged_index.get(name, 0) >= self.frozen_index
            or self.leases.get(name, 0) <= now
            for name in self.entries
        )

    def promote(self, majority: list[FakeTarget]) -> None:
        """Promote the instance with the highest position and open the next term."""
        term = self.row.term + 1
        self.last_closed_term = self.row.term
        chosen = max(majority, key=lambda target: target.position)
        kept = len(chosen.log)
        for target in majority:
            target.open.clear()
            target.term = term
            target.role = messages.TargetRole.replica
            target.following = chosen
        chosen.role = messages.TargetRole.primary
        chosen.following = None
        chosen.log.append(Record(term, 0, f'term {term}'))
        for target in majority:
            target.replicate(len(chosen.log))
        points = (*self.row.branch_points, (self.row.term, kept))
        self.index += 1
        self._update_row(
            phase=messages.GroupPhase.open, term=term, primary=chosen.name, branch_points=points
        )

    def rejoin(self, target: FakeTarget) -> None:
        """Make an instance that missed the last failover follow the primary."""
        if target is not self.primary and target.term < self.row.term:
            target.open.clear()
            target.term = self.row.term
            target.role = messages.TargetRole.replica
            target.following = self.primary
            target.replicate(0)

    def _update_row(self, **fields: object) -> None:
        row_fields = {
            'name': GROUP,
            'term': self.row.term,
            'phase': self.row.phase,
            'primary': self.row.primary,
            'branch_points': self.row.branch_points,
            'modified_index': self.index,
        }
        self.row = messages.GroupRow(**(row_fields | fields))
