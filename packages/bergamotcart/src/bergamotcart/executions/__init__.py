"""Executions of statements at targets: their steps, their sessions' state, and how they ended."""

from bergamotcart.executions._execution_types import (
    ConnectionUse,
    ExecutionStatus,
    LedgerKey,
    LedgerRecord,
    PreparedShape,
    SessionState,
    Step,
    StepKind,
)

__all__ = (
    'ConnectionUse',
    'ExecutionStatus',
    'LedgerKey',
    'LedgerRecord',
    'PreparedShape',
    'SessionState',
    'Step',
    'StepKind',
)
