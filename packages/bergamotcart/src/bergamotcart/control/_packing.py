"""Compression of long commands, which repeat the same words for each route."""

import zlib
from typing import Final

# Shorter commands are frequent and gain little.
_MIN_PACKED_BYTES: Final = 4096
# The fastest level, since a proposal blocks the engine.
_COMPRESSION_LEVEL: Final = 1
# First byte of a zlib stream; an unpacked command starts with a MessagePack map byte.
_ZLIB_FIRST_BYTE: Final = 0x78


class PackingError(ValueError):
    """Packed bytes are malformed or truncated."""


def pack(encoded: bytes) -> bytes:
    """Compress an encoded command, unless it is short or does not become shorter.

    :param encoded: command in MessagePack format.
    """
    if len(encoded) < _MIN_PACKED_BYTES:
        return encoded
    return min(zlib.compress(encoded, _COMPRESSION_LEVEL), encoded, key=len)


def unpack(packed: bytes) -> bytes:
    """Return the encoded command of bytes that ``pack`` or an earlier version has written.

    :param packed: command in MessagePack format, compressed or not.
    :raises PackingError: if the bytes are malformed or truncated.
    """
    if not packed or packed[0] != _ZLIB_FIRST_BYTE:
        return packed
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise PackingError(f'decompression failed: {error}') from error
