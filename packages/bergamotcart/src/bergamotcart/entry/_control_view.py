"""Copy of the control state that this entry has applied."""

from bergamotcart import documents
from bergamotcart.discovery import TargetKey
from bergamotcart.messages import (
    ControlMemberRow,
    EntryRow,
    GroupPhase,
    GroupRow,
    SectionRow,
    StateUpdate,
)


class ControlView:
    """Rows of the control state; the control term and the applied index never decrease."""

    __slots__ = (
        '_policies',
        '_sections',
        'applied_index',
        'control_term',
        'document',
        'entries',
        'entries_limit',
        'groups',
        'members',
    )

    def __init__(self) -> None:
        """Create an empty view."""
        self.applied_index = 0
        self.entries_limit = 1
        self.control_term = 0
        self.groups: dict[str, GroupRow] = {}
        self.entries: dict[str, EntryRow] = {}
        self.members: dict[str, ControlMemberRow] = {}
        self.document = documents.Document({}, revision=0)
        self._sections: dict[str, SectionRow] = {}
        self._policies: dict[tuple[str, str], documents.Policy] = {}

    def apply(self, update: StateUpdate) -> bool:
        """Apply an update unless it is outdated or starts after the applied index.

        :param update: rows that changed.
        :returns: whether the update was applied.
        :raises DocumentError: if its sections are malformed; its rows are not applied then.
        """
        if update.control_term < self.control_term or update.from_index > self.applied_index:
            return False
        if update.to_index < self.applied_index:
            return False
        self.control_term = update.control_term
        if update.to_index == self.applied_index and self.applied_index > 0:
            return False
        if update.from_index == 0 or update.revision != self.document.revision:
            self._apply_sections(update)
        self._apply_rows(update)
        self.applied_index = update.to_index
        self.entries_limit = max(update.entries_limit, 1)
        return True

    def policy(self, caller: str, group: str) -> documents.Policy:
        """Return the policy for a caller and a group."""
        policy = self._policies.get((caller, group))
        if policy is None:
            policy = self.document.policy(caller, group)
            self._policies[caller, group] = policy
        return policy

    def answers_carry_positions(self, group: str) -> bool:
        """Tell whether the answers of a group's instances carry their positions."""
        settings = self.document.group(group)
        return settings is not None and settings.positions is documents.PositionSource.answers

    def has_self_fencing_primary(self, group: str) -> bool:
        """Tell whether a primary of a group refuses requests by itself once it is replaced.

        An entry may then send it requests without a lease. With synchronous replicas, that is too
        late: a write that the former primary acknowledges after its successor was chosen would be
        lost, so entries must stop before the choice.
        """
        settings = self.document.group(group)
        return (
            settings is not None
            and settings.fencing is documents.Fencing.authority
            and not settings.synchronous_replicas
        )

    def has_synchronous_replicas(self, group: str) -> bool:
        """Tell whether replicas must receive a write of a group before it is acknowledged."""
        settings = self.document.group(group)
        return settings is not None and settings.synchronous_replicas > 0

    def is_promoted_by_authority(self, group: str) -> bool:
        """Tell whether an external authority appoints the primary of a group."""
        settings = self.document.group(group)
        return settings is not None and settings.promotion is documents.Promotion.authority

    def open_primary(self, group: str) -> str | None:
        """Return the primary of a group, or ``None`` if the group is not open."""
        return self.groups[group].primary if self.is_open(group) else None

    def is_primary(self, key: TargetKey) -> bool:
        """Tell whether an instance is the primary of its group."""
        row = self.groups.get(key.group)
        return row is not None and row.primary == key.instance

    def is_open(self, group: str, term: int | None = None) -> bool:
        """Tell whether a group has a primary that serves, and in a given term if there is one."""
        row = self.groups.get(group)
        if row is None or row.phase != GroupPhase.open or row.primary is None:
            return False
        return term is None or row.term == term

    def _apply_sections(self, update: StateUpdate) -> None:
        """Parse the whole document again, which is slow if it has many routes."""
        sections = {} if update.from_index == 0 else dict(self._sections)
        for name in update.removed_sections:
            sections.pop(name, None)
        sections.update((row.name, row) for row in update.sections)
        self.document = documents.Document.from_sections(sections.values(), update.revision)
        self._sections = sections
        self._policies.clear()

    def _apply_rows(self, update: StateUpdate) -> None:
        if update.from_index == 0:
            self.groups = {}
            self.entries = {}
        for name in update.removed_entries:
            self.entries.pop(name, None)
        self.groups.update((row.name, row) for row in update.groups)
        self.entries.update((row.name, row) for row in update.entries)
        if update.members:
            self.members = {row.name: row for row in update.members}
