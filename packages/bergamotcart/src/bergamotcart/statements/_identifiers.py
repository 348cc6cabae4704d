"""Issue times of request identifiers, and fingerprints of statements."""

import hashlib
import re
import uuid
from typing import Final

_ISSUE_TIME_PREFIX_PATTERN: Final = re.compile(r'(\d{13})-')
_UUID7_TIME_SHIFT_BITS: Final = 80
_UUID7_VERSION: Final = 7
_FINGERPRINT_BYTES: Final = 16
_UUID_PATTERN: Final = re.compile('[0-9a-fA-F]{8}(?:-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}')


def issue_time_ms(request_id: str) -> int | None:
    """Return the issue time in a request identifier.

    An identifier has one if it starts with 13 digits and a hyphen or is a UUID of version 7.

    :param request_id: identifier chosen by the caller.
    :returns: Unix time in milliseconds, or ``None`` if the identifier has no issue time.
    """
    match = _ISSUE_TIME_PREFIX_PATTERN.match(request_id)
    if match is not None:
        return int(match.group(1))
    if _UUID_PATTERN.fullmatch(request_id) is None:
        return None
    identifier = uuid.UUID(request_id)
    if identifier.version != _UUID7_VERSION:
        return None
    return identifier.int >> _UUID7_TIME_SHIFT_BITS


def fingerprint(sql: str) -> str:
    """Return a digest of a statement, to detect the reuse of an identifier for another one.

    :param sql: statement without the comments that hold directives.
    """
    return hashlib.blake2b(sql.encode(), digest_size=_FINGERPRINT_BYTES).hexdigest()
