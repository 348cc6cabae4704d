"""Document files, and their base copies with the server versions that they are based on."""

from bergamotcart_ctl.documents._base_copy import (
    BaseCopy,
    PendingChange,
    load_base_copy,
    store_base_copy,
)
from bergamotcart_ctl.documents._checked_file import (
    CheckedFile,
    check_configuration,
    check_document,
    check_file,
)
from bergamotcart_ctl.documents._document import (
    FileError,
    Section,
    diff_section,
    dump_document,
    find_changed_sections,
    load_document,
    parse_sections,
)

__all__ = (
    'BaseCopy',
    'CheckedFile',
    'FileError',
    'PendingChange',
    'Section',
    'check_configuration',
    'check_document',
    'check_file',
    'diff_section',
    'dump_document',
    'find_changed_sections',
    'load_base_copy',
    'load_document',
    'parse_sections',
    'store_base_copy',
)
