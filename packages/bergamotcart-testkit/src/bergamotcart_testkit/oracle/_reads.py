"""Share of the reads of callers that replicas served."""

from bergamotcart_testkit.load import Journal, OperationKind
from bergamotcart_testkit.oracle._evidence import GroupEvidence, marks_in
from bergamotcart_testkit.target import Event, EventKind


def replica_share(
    journal: Journal, evidence: list[GroupEvidence], kinds: frozenset[OperationKind]
) -> float | None:
    """Return the share of answered reads of some kinds that a replica served.

    :param kinds: kinds of reads to count.
    :returns: share from 0 to 1, or ``None`` without such reads.
    """
    roles: dict[str, str] = {}
    for group in evidence:
        for events in group.histories.values():
            roles.update(_read_roles(events))
    served = [
        roles[operation.mark]
        for operation in journal.operations
        if operation.kind in kinds and operation.answer.ran and operation.mark in roles
    ]
    return served.count('replica') / len(served) if served else None


def _read_roles(events: tuple[Event, ...]) -> dict[str, str]:
    reads = (event for event in events if event.kind is EventKind.read and not event.error)
    return {mark: event.role for event in reads for mark in marks_in(event.statement)}
