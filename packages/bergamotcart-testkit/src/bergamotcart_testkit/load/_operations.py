"""Operations of callers and the journal that collects them."""

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

    :param mark: unique identifier of the request, included in the statement text.
    :param key: key of the row that the request reads or writes.
    :param version: version written, or the minimum version that the read must return.
    :param check_failure: reason why the answer is wrong, checked on receipt, or empty.
    """

    kind: OperationKind
    session: str
    group: str
    entry: str
    mark: str
    key: str
    version: int
    answer: Answer
    check_failure: str = ''

    @property
    def verdict(self) -> Verdict:
        """Outcome reported to the caller."""
        return self.answer.verdict

    @property
    def is_read(self) -> bool:
        """Whether the request is a read."""
        return self.kind in READ_KINDS

    @property
    def is_acknowledged_write(self) -> bool:
        """Whether the request is a write that was acknowledged to the caller."""
        acknowledged_verdicts = {Verdict.ran, Verdict.ran_without_answer}
        return not self.is_read and self.verdict in acknowledged_verdicts


READ_KINDS = frozenset(
    (
        OperationKind.own_read,
        OperationKind.other_read,
        OperationKind.aged_read,
        OperationKind.pair_read,
    )
)


@dataclass(frozen=True, slots=True)
class _AcknowledgedVersion:
    ended: float
    version: int


class Journal:
    """All operations of a load, and the acknowledged register versions with their times."""

    def __init__(self) -> None:
        """Create an empty journal."""
        self.operations: list[Operation] = []
        self._acknowledged: dict[str, list[_AcknowledgedVersion]] = {}

    def add(self, operation: Operation) -> None:
        """Add an operation whose answer has been received."""
        self.operations.append(operation)
        if operation.kind is OperationKind.register_write and operation.is_acknowledged_write:
            versions = self._acknowledged.setdefault(operation.key, [])
            versions.append(_AcknowledgedVersion(operation.answer.ended, operation.version))

    def acknowledged_version(self, key: str, before: float) -> int:
        """Return the newest version of a register that was acknowledged before a time."""
        versions = self._acknowledged.get(key, [])
        return max((each.version for each in versions if each.ended < before), default=0)

    def count_acknowledged_writes(self, group: str) -> int:
        """Return the number of acknowledged writes to a group."""
        return sum(
            operation.group == group and operation.is_acknowledged_write
            for operation in self.operations
        )

    def first_acknowledgement_after(self, group: str, started: float) -> float | None:
        """Return the time of the first acknowledgement of a write sent after ``started``, if any."""
        ends = [
            operation.answer.ended
            for operation in self.operations
            if operation.group == group
            and operation.is_acknowledged_write
            and operation.answer.started >= started
        ]
        return min(ends, default=None)
