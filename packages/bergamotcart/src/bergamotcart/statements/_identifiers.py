"""Request identifiers and fingerprints of statements."""

import hashlib
import re
import uuid
from typing import Final

_ISSUED: Final = re.compile(r'(\d{13})-')
_UUID_TIME_SHIFT: Final = 80
_UUID_TIME_VERSION: Final = 7
_FINGERPRINT_BYTES: Final = 16
_UUID: Final = re.compile('[0-9a-fA-F]{8}(?:-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}')


def issue_time_ms(request_id: str) -> int | None:
    """Return the issue time that a request identifier carries.

    :param request_id: identifier chosen by the caller.
    :returns: Unix time in milliseconds, or ``None`` if the identifier has no time.
    """
    match = _ISSUED.match(request_id)
    if match is not None:
        return int(match.group(1))
    if _UUID.fullmatch(request_id) is None:
        return None
    identifier = uuid.UUID(request_id)
    if identifier.version != _UUID_TIME_VERSION:
        return None
    return identifier.int >> _UUID_TIME_SHIFT


def fingerprint(sql: str) -> str:
    """Return a digest of a statement, to detect a reused identifier.

    :param sql: statement without the comment that holds directives.
    """
    return hashlib.blake2b(sql.encode(), digest_size=_FINGERPRINT_BYTES).hexdigest()
