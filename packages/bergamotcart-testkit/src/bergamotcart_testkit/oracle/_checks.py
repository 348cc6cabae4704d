"""Checks of answers against the logs and execution histories of the targets."""

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from bergamotcart_testkit.load import Journal, Operation, OperationKind, Verdict
from bergamotcart_testkit.oracle._evidence import GroupEvidence, committed_marks, marks_in
from bergamotcart_testkit.target import LogRecord


@enum.unique
class ViolationKind(enum.StrEnum):
    """Kind of a violation."""

    wrong_answer = 'wrong_answer'
    lost_write = 'lost_write'
    ran_twice = 'ran_twice'
    mixed_transaction = 'mixed_transaction'
    torn_transaction = 'torn_transaction'
    wrong_not_run = 'wrong_not_run'


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated guarantee to a caller."""

    kind: ViolationKind
    detail: str


def find_violations(journal: Journal, evidence: list[GroupEvidence]) -> list[Violation]:
    """Check all answers of a load.

    :param journal: operations of the callers, with their answers.
    :param evidence: logs and execution histories of the targets, collected after the load.
    """
    violations = [
        Violation(ViolationKind.wrong_answer, f'{_describe(operation)}: {operation.check_failure}')
        for operation in journal.operations
        if operation.check_failure
    ]
    for group in evidence:
        operations = [each for each in journal.operations if each.group == group.group]
        violations.extend(_lost_writes(operations, group))
        violations.extend(_duplicate_writes(group))
        violations.extend(_mixed_transactions(group))
        violations.extend(_torn_transactions(operations, group))
        violations.extend(_wrong_not_run(operations, group))
    return violations


def _lost_writes(operations: list[Operation], group: GroupEvidence) -> Iterator[Violation]:
    logged_marks = {mark for record in group.log for mark in _record_marks(record)}
    for operation in operations:
        if operation.is_acknowledged_write and operation.mark not in logged_marks:
            yield Violation(ViolationKind.lost_write, _describe(operation))


def _duplicate_writes(group: GroupEvidence) -> Iterator[Violation]:
    counts = Counter(mark for record in group.log for mark in _record_marks(record))
    for mark, count in counts.items():
        if count > 1:
            detail = f'{mark} is in {count} records of {group.group}'
            yield Violation(ViolationKind.ran_twice, detail)


def _mixed_transactions(group: GroupEvidence) -> Iterator[Violation]:
    """Find transactions at a target that contain statements of several requests."""
    for instance, events in group.histories.items():
        marks: dict[str, set[str]] = {}
        for event in events:
            marks.setdefault(event.transaction, set()).update(marks_in(event.statement))
        for transaction, found in marks.items():
            if len(found) > 1:
                detail = f'{instance}: transaction {transaction} contains {sorted(found)}'
                yield Violation(ViolationKind.mixed_transaction, detail)


def _torn_transactions(operations: list[Operation], group: GroupEvidence) -> Iterator[Violation]:
    transactions = {each.mark for each in operations if each.kind is OperationKind.transaction}
    for record in group.log:
        for mark in _record_marks(record) & transactions:
            halves = sum(mark in marks_in(sql) for sql in record.statements)
            if halves != 2:
                detail = f'{mark}: {halves} of 2 statements in record {record.position}'
                yield Violation(ViolationKind.torn_transaction, detail)


def _wrong_not_run(operations: list[Operation], group: GroupEvidence) -> Iterator[Violation]:
    """Find committed requests of which every attempt was reported as not run."""
    committed = committed_marks(group)
    refused = {Verdict.not_run, Verdict.target_error}
    possibly_run = {each.mark for each in operations if each.verdict not in refused}
    for operation in operations:
        if operation.is_read or operation.mark in possibly_run:
            continue
        if operation.mark in committed:
            yield Violation(ViolationKind.wrong_not_run, _describe(operation))


def _record_marks(record: LogRecord) -> set[str]:
    return {mark for sql in record.statements for mark in marks_in(sql)}


def _describe(operation: Operation) -> str:
    answer = operation.answer
    return (
        f'{operation.kind} {operation.mark} through {operation.entry} in {operation.group}: '
        f'{operation.verdict} ({answer.code}, {answer.reason}) '
        f'from {answer.started:.3f} to {answer.ended:.3f}'
    )
