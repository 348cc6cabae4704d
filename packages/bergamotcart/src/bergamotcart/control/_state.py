"""Replicated control state: its tables and its snapshot format."""

from typing import Final

import msgspec

from bergamotcart import messages

STATE_FORMAT: Final = 1


class StateError(ValueError):
    """A snapshot of the control state is malformed or has an unsupported format."""


class RecordedChange(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a document change, stored so that a resent change gets the same answer.

    :param outcome: ``accepted``, ``conflict``, ``invalid`` or ``forbidden``.
    :param digest: digest of the change, to detect that its identifier was reused for another.
    :param version: version that the change created, or the current version after a conflict.
    :param problems: (path, message) of each error in the change.
    """

    outcome: str
    digest: str
    version: int = 0
    diff: str = ''
    problems: tuple[tuple[str, str], ...] = ()
    revision: int = 0


class HistoryRow(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change of a section.

    :param index: log index of the change.
    :param diff: diff of the section, truncated to a bounded length.
    """

    version: int
    change_id: str
    index: int
    diff: str


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Last known availability zone and addresses of an instance, and whether it leaves."""

    group: str
    instance: str
    availability_zone: str
    address: str
    admin_address: str
    leaving: bool = False


class ReplicatedState(msgspec.Struct, kw_only=True):
    """Tables that are identical on all members at the same log index.

    :param index: log index of the last change of a row that entries receive.
    :param required_index: the same without the roster. An entry that has this state may serve: it
        needs the other entries only to divide connections and relay announcements.
    :param applied_index: log index of the last record applied.
    :param applied_term: log term of that record.
    :param revision: log index of the last accepted document change.
    :param frozen_index: log index of the newest freeze of any group. It is kept after the group
        opens again, because an entry that missed the freeze still uses the former term.
    :param entries: roster by name and incarnation. A former incarnation stays in it until its
        lease must have ended, so that a new leader also waits for the end of that lease.
    :param removed_sections: log index of the removal of each section by name, newest last.
    :param removed_entries: log index of the removal of each entry by name, newest last.
    :param removal_floor: removals up to this log index may have been discarded.
    :param instances: last known addresses of instances, by ``instance_key``.
    :param document_source: newest whole document as the operator sent it.
    :param retired: former incarnations, which delayed messages must not admit again.
    :param caps_settled_term: newest term whose leader was left without credits of former leaders;
        never set where no workspace has a cap.
    """

    version: int = STATE_FORMAT
    index: int = 0
    required_index: int = 0
    applied_index: int = 0
    applied_term: int = 0
    revision: int = 0
    frozen_index: int = 0
    groups: dict[str, messages.GroupRow] = msgspec.field(default_factory=dict)
    sections: dict[str, messages.SectionRow] = msgspec.field(default_factory=dict)
    entries: dict[str, dict[str, messages.EntryRow]] = msgspec.field(default_factory=dict)
    members: tuple[messages.ControlMemberRow, ...] = ()
    changes: dict[str, RecordedChange] = msgspec.field(default_factory=dict)
    history: dict[str, list[HistoryRow]] = msgspec.field(default_factory=dict)
    removed_sections: dict[str, int] = msgspec.field(default_factory=dict)
    removed_entries: dict[str, int] = msgspec.field(default_factory=dict)
    removal_floor: int = 0
    retired: list[str] = msgspec.field(default_factory=list)
    entries_limit: int = 1
    instances: dict[str, InstanceRow] = msgspec.field(default_factory=dict)
    document_source: str = ''
    caps_settled_term: int | msgspec.UnsetType = msgspec.UNSET

    def roster(self) -> list[messages.EntryRow]:
        """Return all rows of the roster, former incarnations included."""
        return [row for rows in self.entries.values() for row in rows.values()]

    def entry(self, name: str, incarnation: str) -> messages.EntryRow | None:
        """Return the roster row of one incarnation."""
        return self.entries.get(name, {}).get(incarnation)

    def newest_entry(self, name: str) -> messages.EntryRow | None:
        """Return the row of the newest incarnation of an entry."""
        rows = self.entries.get(name, {}).values()
        return max(rows, key=_modified_index, default=None)


def record_change(state: ReplicatedState, index: int) -> None:
    """Record a change of a row that entries must have before they serve."""
    state.index = index
    state.required_index = index


def record_roster_change(state: ReplicatedState, index: int) -> None:
    """Record a change of the roster, which entries receive with their next renewals."""
    state.index = index


def instance_key(group: str, instance: str) -> str:
    """Return the key of an instance in ``ReplicatedState.instances``."""
    return f'{group}/{instance}'


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(ReplicatedState)


def encode_state(state: ReplicatedState) -> bytes:
    """Encode the state as a snapshot."""
    return _ENCODER.encode(state)


def decode_state(encoded: bytes) -> ReplicatedState:
    """Restore the state from a snapshot.

    :param encoded: result of ``encode_state``.
    :returns: the state.
    :raises StateError: if the bytes are malformed or have an unsupported format.
    """
    try:
        state = _DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise StateError(f'malformed snapshot of the control state: {error}') from error
    if state.version != STATE_FORMAT:
        raise StateError(f'unsupported snapshot format {state.version}, expected {STATE_FORMAT}')
    # Snapshots of earlier versions lack it.
    state.required_index = state.required_index or state.index
    return state


def _modified_index(row: messages.EntryRow) -> int:
    return row.modified_index
