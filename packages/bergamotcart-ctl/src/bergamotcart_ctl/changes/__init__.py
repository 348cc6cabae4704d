"""Documents in files and the versions that they are based on."""

from bergamotcart_ctl.changes._base import BaseCopy, PendingChange, load_base, store_base
from bergamotcart_ctl.changes._document import (
    FileError,
    Section,
    compare,
    dump_document,
    find_changed,
    load_document,
    parse_sections,
)

__all__ = (
    'BaseCopy',
    'FileError',
    'PendingChange',
    'Section',
    'compare',
    'dump_document',
    'find_changed',
    'load_base',
    'load_document',
    'parse_sections',
    'store_base',
)
