"""Decoding of bytes from outside this process."""

from typing import Protocol, TypeVar

import msgspec

_Decoded = TypeVar('_Decoded', covariant=True)


class _Decoder(Protocol[_Decoded]):
    def decode(self, encoded: bytes, /) -> _Decoded: ...


def decode_external(decoder: _Decoder[_Decoded], encoded: bytes) -> _Decoded:
    """Decode bytes of any content.

    A deeply nested value, also one in an unknown field, raises ``RecursionError`` in msgspec, which
    is not a ``ValueError`` as its other errors are.

    :param decoder: decoder of msgspec for JSON or MessagePack.
    :raises msgspec.DecodeError: if the bytes are malformed or nested too deeply.
    """
    try:
        return decoder.decode(encoded)
    except RecursionError as error:
        raise msgspec.DecodeError('nested too deeply') from error
