"""Oracle: checks the answers to callers against the logs and histories of the targets."""

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
