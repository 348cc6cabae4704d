"""Session tokens and the floors that they carry."""

from bergamotcart.sessions._floors import Floors
from bergamotcart.sessions._tokens import (
    MAX_GROUPS,
    MAX_TOKEN_CHARS,
    TokenError,
    decode_token,
    encode_token,
)

__all__ = (
    'Floors',
    'MAX_GROUPS',
    'MAX_TOKEN_CHARS',
    'TokenError',
    'decode_token',
    'encode_token',
)
