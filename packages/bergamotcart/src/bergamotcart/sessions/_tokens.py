"""Session tokens: floors per group, authenticated with HMAC-SHA256."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

import msgspec

from bergamotcart.discovery import Position

MAX_GROUPS: Final = 64
MAX_TOKEN_CHARS: Final = 8192
_TOKEN_VERSION: Final = b'\x01'
_MAC_BYTES: Final = 32
_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[tuple[str, int, int]])


class TokenError(ValueError):
    """The token is malformed, too long, of an unknown version, or not authentic."""


def encode_token(key: bytes, floors: Mapping[str, Position]) -> str:
    """Return the token of a session.

    :param key: secret that all entries share.
    :param floors: floors of the session by group.
    :raises TokenError: if there are more groups than a token can hold.
    """
    if len(floors) > MAX_GROUPS:
        raise TokenError(f'a session token holds at most {MAX_GROUPS} groups, not {len(floors)}')
    rows = [(name, floor.log_term, floor.position) for name, floor in sorted(floors.items())]
    payload = _TOKEN_VERSION + _ENCODER.encode(rows)
    return base64.urlsafe_b64encode(_compute_mac(key, payload) + payload).rstrip(b'=').decode()


def decode_token(key: bytes, token: str) -> dict[str, Position]:
    """Return the floors in a token.

    :param key: secret that all entries share.
    :param token: text that a caller sent.
    :raises TokenError: if the token was not issued with this key and version.
    """
    if len(token) > MAX_TOKEN_CHARS:
        raise TokenError(f'the session token has {len(token)} characters, limit {MAX_TOKEN_CHARS}')
    try:
        padded_token = token.ljust(len(token) + -len(token) % 4, '=')
        decoded = base64.b64decode(padded_token, altchars=b'-_', validate=True)
    except (ValueError, binascii.Error) as error:
        raise TokenError('the session token is malformed') from error
    payload = decoded[_MAC_BYTES:]
    if not hmac.compare_digest(_compute_mac(key, payload), decoded[:_MAC_BYTES]):
        raise TokenError('the session token is not authentic')
    if payload[:1] != _TOKEN_VERSION:
        raise TokenError(f'the session token has the unknown version {payload[:1]!r}')
    try:
        rows = _DECODER.decode(payload[1:])
    except msgspec.MsgspecError as error:
        raise TokenError('the session token is malformed') from error
    return {group: Position(log_term, position) for group, log_term, position in rows}


def _compute_mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)
