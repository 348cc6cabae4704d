"""Tests that forged tokens are rejected and that floors never decrease."""

from types import MappingProxyType

import pytest

from bergamotcart.discovery import Position
from bergamotcart.sessions import MAX_GROUPS, Floors, TokenError, decode_token, encode_token

_KEY = b'0123456789abcdef'
_FLOORS = MappingProxyType({'tickets': Position(2, 17), 'members': Position(1, 4)})


def test_token_preserves_floors():
    """A session that moves to another entry must keep its floors."""
    assert decode_token(_KEY, encode_token(_KEY, _FLOORS)) == _FLOORS


@pytest.mark.parametrize('position', range(0, 60, 7))
def test_modified_token_is_rejected(position):
    """A forged lower floor would hide writes that the session has seen."""
    token = encode_token(_KEY, _FLOORS)
    other = 'B' if token[position] == 'A' else 'A'
    with pytest.raises(TokenError):
        decode_token(_KEY, token[:position] + other + token[position + 1 :])


@pytest.mark.parametrize('token', ['', 'x', 'ü' * 40, '!' * 64, 'A' * 9000])
def test_malformed_token_is_rejected(token):
    """Callers may send any text as a token."""
    with pytest.raises(TokenError):
        decode_token(_KEY, token)


def test_other_key_and_too_many_groups_are_rejected():
    """Each deployment has its own key, and a token must fit into an SQL comment."""
    with pytest.raises(TokenError):
        decode_token(b'another key of 16', encode_token(_KEY, _FLOORS))
    with pytest.raises(TokenError):
        too_many_floors = {f'group{number}': Position(1, 1) for number in range(MAX_GROUPS + 1)}
        encode_token(_KEY, too_many_floors)


def test_floors_never_decrease():
    """An old token must not lower the floors of a session."""
    floors = Floors()
    floors.raise_to('tickets', Position(2, 5))
    floors.merge({'tickets': Position(1, 90)})
    assert floors.get('tickets') == Position(2, 5)
