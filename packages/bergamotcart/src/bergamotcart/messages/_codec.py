"""Encoding of envelopes as MessagePack, with a size limit."""

from typing import Final

import msgspec

from bergamotcart.messages._envelope import Envelope
from bergamotcart.messages._external import decode_external

FORMAT_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 1024 * 1024

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Envelope)


class DecodeError(ValueError):
    """The bytes are not a valid message of the expected version, domain and size."""


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :param envelope: the message.
    :returns: its MessagePack form.
    :raises ValueError: if it is longer than ``MAX_MESSAGE_BYTES`` or contains an integer that is
        out of range.
    """
    try:
        encoded = _ENCODER.encode(envelope)
    except OverflowError as error:
        raise ValueError(f'message cannot be encoded: {error}') from error
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise ValueError(f'message of {len(encoded)} bytes exceeds {MAX_MESSAGE_BYTES} bytes')
    return encoded


def decode(encoded: bytes, domain: str) -> Envelope:
    """Decode an envelope and check its version and domain.

    :param encoded: bytes received.
    :param domain: control domain of the receiver.
    :returns: the envelope.
    :raises DecodeError: if the bytes are malformed, too long, of another version or domain.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise DecodeError(f'message of {len(encoded)} bytes exceeds {MAX_MESSAGE_BYTES} bytes')
    try:
        envelope = decode_external(_DECODER, encoded)
    except msgspec.MsgspecError as error:
        raise DecodeError(f'malformed message: {error}') from error
    if envelope.version != FORMAT_VERSION:
        raise DecodeError(f'message format version {envelope.version}, expected {FORMAT_VERSION}')
    if envelope.domain != domain:
        raise DecodeError(f'message of control domain {envelope.domain!r}, expected {domain!r}')
    return envelope
