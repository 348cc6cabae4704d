"""Durable state of the replicated log, and the batches that change it."""

from dataclasses import dataclass

from bergamotcart import messages


@dataclass(frozen=True, slots=True, kw_only=True)
class HardState:
    """Durable scalar state of the replicated log.

    :param incarnation: random identity of the data folder.
    :param voted_for: name and incarnation, joined by ``/``, of the member that got this
        member's vote in ``term``.
    """

    incarnation: str
    term: int = 0
    voted_for: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Control state up to a log index."""

    last_index: int
    last_term: int
    members: tuple[messages.LogMember, ...]
    state: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class DurableState:
    """All that the data folder holds, as loaded at start."""

    hard: HardState
    snapshot: Snapshot | None
    records: tuple[messages.LogEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Persist:
    """Write and sync a batch, in order, then answer with ``Persisted``.

    :param hard: new hard state, if it changed.
    :param snapshot: new snapshot, if any; records up to its index may be deleted.
    :param truncate_from: delete records from this index on before appending.
    """

    batch_id: int
    hard: HardState | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    records: tuple[messages.LogEntry, ...] = ()
