"""Durable state of the replicated log, and the batches of changes to it."""

from collections.abc import Sequence

import msgspec

from bergamotcart import messages


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """Hard state of Raft: the term, the vote and the identity of the data folder.

    :param incarnation: random identity of the data folder.
    :param voted_for: name and incarnation, joined by ``/``, of the member that this member
        voted for in ``term``; ``None`` if it has not voted.
    """

    incarnation: str
    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Control state after applying the log up to an index.

    :param members: membership in force at ``last_index``.
    :param state: encoded control state.
    """

    last_index: int
    last_term: int
    members: tuple[messages.LogMember, ...]
    state: bytes


class DurableState(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the data folder, as loaded at start."""

    hard_state: HardState
    snapshot: Snapshot | None
    records: tuple[messages.LogEntry, ...]


class WriteBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Batch of changes to write and sync, in order; the caller then calls ``persisted``.

    :param hard_state: new hard state, if it changed.
    :param snapshot: new snapshot, if any; records up to its index may be deleted.
    :param truncate_from: index of the first record to delete before ``records`` are appended.
    :param records: records to append.
    """

    batch_id: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    records: tuple[messages.LogEntry, ...] = ()


def merge_batches(batches: Sequence[WriteBatch]) -> WriteBatch:
    """Return one batch with the effect of several, in order.

    :param batches: successive batches, at least one.
    :returns: a batch with the identifier of the last one. It stores no records that one of the
        batches deletes.
    """
    hard_state, snapshot, truncate_from = None, None, None
    records: list[messages.LogEntry] = []
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        snapshot = batch.snapshot or snapshot
        if batch.truncate_from is not None:
            first = batch.truncate_from
            truncate_from = first if truncate_from is None else min(first, truncate_from)
            records = [entry for entry in records if entry.index < first]
        records.extend(batch.records)
    covered_index = snapshot.last_index if snapshot else 0
    return WriteBatch(
        batch_id=batches[-1].batch_id,
        hard_state=hard_state,
        snapshot=snapshot,
        truncate_from=truncate_from,
        records=tuple(entry for entry in records if entry.index > covered_index),
    )
