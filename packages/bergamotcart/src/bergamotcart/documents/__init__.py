"""The operator document: typed sections, their checks, and changes to them."""

from bergamotcart.documents._changes import (
    Accepted,
    Change,
    ChangeOutcome,
    Conflict,
    Forbidden,
    Invalid,
    evaluate_change,
    hash_token,
)
from bergamotcart.documents._document import (
    Document,
    DocumentError,
    Problem,
    parse_section,
)
from bergamotcart.documents._schema import (
    Acknowledgement,
    GroupSettings,
    InsufficientInstances,
    OperationsBody,
    OwnersBody,
    Policy,
    Repeatable,
    SectionKind,
    SessionStart,
)

__all__ = (
    'Accepted',
    'Acknowledgement',
    'Change',
    'ChangeOutcome',
    'Conflict',
    'Document',
    'DocumentError',
    'Forbidden',
    'GroupSettings',
    'InsufficientInstances',
    'Invalid',
    'OperationsBody',
    'OwnersBody',
    'Policy',
    'Problem',
    'Repeatable',
    'SectionKind',
    'SessionStart',
    'evaluate_change',
    'hash_token',
    'parse_section',
)
