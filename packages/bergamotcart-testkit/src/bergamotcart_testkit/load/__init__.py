"""Load generator: callers, their sessions, and a mixed load that checks each answer."""

from bergamotcart_testkit.load._caller import (
    Answer,
    Caller,
    Directives,
    UnreachableError,
    Verdict,
)
from bergamotcart_testkit.load._load import (
    MIXED_WEIGHTS,
    MOSTLY_READ_WEIGHTS,
    Load,
    LoadSettings,
    run_setup_statements,
)
from bergamotcart_testkit.load._operations import READ_KINDS, Journal, Operation, OperationKind
from bergamotcart_testkit.load._session import MAX_AGE_S, Session, SessionSettings

__all__ = (
    'MAX_AGE_S',
    'MIXED_WEIGHTS',
    'MOSTLY_READ_WEIGHTS',
    'READ_KINDS',
    'Answer',
    'Caller',
    'Directives',
    'Journal',
    'Load',
    'LoadSettings',
    'Operation',
    'OperationKind',
    'Session',
    'SessionSettings',
    'UnreachableError',
    'Verdict',
    'run_setup_statements',
)
