"""Oracle: checks what callers were told against what the targets hold and executed."""

from bergamotcart_testkit.oracle._checks import Violation, ViolationKind, find_violations
from bergamotcart_testkit.oracle._evidence import (
    GroupEvidence,
    collect_evidence,
    committed_marks,
    marks_in,
)
from bergamotcart_testkit.oracle._reads import replica_share

__all__ = (
    'GroupEvidence',
    'Violation',
    'ViolationKind',
    'collect_evidence',
    'committed_marks',
    'find_violations',
    'marks_in',
    'replica_share',
)
