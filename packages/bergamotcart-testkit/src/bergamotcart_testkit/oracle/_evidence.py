"""Collection of the logs and execution histories of the targets."""

import re
from dataclasses import dataclass
from itertools import chain
from pathlib import Path
from typing import Final

from bergamotcart_testkit.deployment import Deployment
from bergamotcart_testkit.target import Event, EventKind, LogRecord, read_history

# Entries add statements on this table themselves, whose text includes the request identifier.
_LEDGER_TABLE: Final = 'bergamotcart_ledger'
_MARK: Final = re.compile(r"'([A-Za-z0-9_-]+\.(?:order)?\d+)'")


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupEvidence:
    """Log and execution histories of the instances of one group.

    :param log: records of the final primary.
    :param histories: executed statements of each instance, over all its restarts.
    """

    group: str
    log: tuple[LogRecord, ...]
    histories: dict[str, tuple[Event, ...]]


def marks_in(statement: str) -> set[str]:
    """Return the request marks in a statement; none for statements that entries add."""
    if _LEDGER_TABLE in statement:
        return set()
    return set(_MARK.findall(statement))


def committed_marks(evidence: GroupEvidence) -> set[str]:
    """Return the marks of all writes that any instance committed, even on a discarded branch."""
    marks: set[str] = set()
    for event in chain.from_iterable(evidence.histories.values()):
        if event.kind is EventKind.write and event.committed:
            marks.update(marks_in(event.statement))
    return marks


async def collect_evidence(deployment: Deployment) -> list[GroupEvidence]:
    """Wait until each group has settled, then collect its log and histories."""
    return [await _collect(deployment, group) for group in deployment.layout.groups]


async def _collect(deployment: Deployment, group: str) -> GroupEvidence:
    primary = await deployment.wait_until_settled(group)
    targets = [target for target in deployment.plan.targets if target.group == group]
    return GroupEvidence(
        group=group,
        log=tuple(await deployment.target(primary.instance).log()),
        histories={target.name: _history(target.history_file) for target in targets},
    )


def _history(path: Path) -> tuple[Event, ...]:
    return tuple(read_history(path)) if path.exists() else ()
