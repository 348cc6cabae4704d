"""Classification of SQL statements, sqlcommenter directives and request identifiers."""

from bergamotcart.statements._classification import Statement, StatementKind, classify
from bergamotcart.statements._directives import (
    DirectiveError,
    Directives,
    extract_directives,
    parse_duration,
)
from bergamotcart.statements._identifiers import fingerprint, issue_time_ms

__all__ = (
    'DirectiveError',
    'Directives',
    'Statement',
    'StatementKind',
    'classify',
    'extract_directives',
    'fingerprint',
    'issue_time_ms',
    'parse_duration',
)
