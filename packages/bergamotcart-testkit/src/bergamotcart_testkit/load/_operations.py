"""What callers did and were told."""

import enum
from dataclasses import dataclass

from bergamotcart_testkit.load._caller import Answer, Verdict


@enum.unique
class OperationKind(enum.StrEnum):
    """Kinds of operations of the load."""

    register_write = 'register_write'
    own_read = 'own_read'
    other_read = 'other_read'
    aged_read = 'aged_read'
    order = 'order'
    transaction = 'transaction'
    pair_read = 'pair_read'


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One request of a caller with its answer.

    :param mark: text that occurs in the statement and in no other request.
    :param key: row that the request is about.
    :param version: version written, or the least one that the read must show.
    :param fault: why the answer is wrong, found when it arrived, or empty.
    """

    kind: OperationKind
    session: str
    group: str
    entry: str
    mark: str
    key: str
    version: int
    answer: Answer
    fault: str = ''

    @property
    def verdict(self) -> Verdict:
        """What the caller was told."""
        return self.answer.verdict

    @property
    def is_read(self) -> bool:
        """Whether the request changes nothing."""
        return self.kind in READ_KINDS

    @property
    def is_acknowledged_write(self) -> bool:
        """Whether the caller was told that its write ran."""
        told = {Verdict.ran, Verdict.ran_without_answer}
        return not self.is_read and self.verdict in told


READ_KINDS = frozenset(
    (
        OperationKind.own_read,
        OperationKind.other_read,
        OperationKind.aged_read,
        OperationKind.pair_read,
    )
)


@dataclass(frozen=True, slots=True)
class _Acknowledged:
    ended: float
    version: int


class Journal:
    """All operations of a load, and the acknowledged versions by time."""

    def __init__(self) -> None:
        """Start empty."""
        self.operations: list[Operation] = []
        self._acknowledged: dict[str, list[_Acknowledged]] = {}

    def add(self, operation: Operation) -> None:
        """Add an operation whose answer has arrived."""
        self.operations.append(operation)
        if operation.kind is OperationKind.register_write and operation.is_acknowledged_write:
            versions = self._acknowledged.setdefault(operation.key, [])
            versions.append(_Acknowledged(operation.answer.ended, operation.version))

    def acknowledged_version(self, key: str, before: float) -> int:
        """Return the newest version of a register that was acknowledged before a time."""
        versions = self._acknowledged.get(key, [])
        return max((each.version for each in versions if each.ended < before), default=0)

    def acknowledged_writes(self, group: str) -> int:
        """Return how many writes to a group were acknowledged."""
        return sum(
            operation.group == group and operation.is_acknowledged_write
            for operation in self.operations
        )

    def acknowledged_after(self, group: str, started: float) -> float | None:
        """Return when the first write sent after a time was acknowledged, if one was."""
        ends = [
            operation.answer.ended
            for operation in self.operations
            if operation.group == group
            and operation.is_acknowledged_write
            and operation.answer.started >= started
        ]
        return min(ends, default=None)
