"""Guards against forged tokens and floors that fall."""

from types import MappingProxyType

import pytest

from bergamotcart.discovery import Position
from bergamotcart.sessions import MAX_GROUPS, Floors, TokenError, decode_token, encode_token

_KEY = b'0123456789abcdef'
_FLOORS = MappingProxyType({'tickets': Position(2, 17), 'members': Position(1, 4)})


def test_a_token_keeps_its_floors():
    """A session must find its floors at another entry."""
    assert decode_token(_KEY, encode_token(_KEY, _FLOORS)) == _FLOORS


@pytest.mark.parametrize('position', range(0, 60, 7))
def test_a_changed_token_is_refused(position):
    """A forged floor would hide writes."""
    token = encode_token(_KEY, _FLOORS)
    other = 'B' if token[position] == 'A' else 'A'
    with pytest.raises(TokenError):
        decode_token(_KEY, token[:position] + other + token[position + 1 :])


@pytest.mark.parametrize('token', ['', 'x', 'ü' * 40, '!' * 64, 'A' * 9000])
def test_malformed_tokens_are_refused(token):
    """Any text may arrive as a token."""
    with pytest.raises(TokenError):
        decode_token(_KEY, token)


def test_a_token_of_another_key_is_refused_and_its_size_is_bounded():
    """Keys separate deployments, and a token must fit into a comment."""
    with pytest.raises(TokenError):
        decode_token(b'another key of 16', encode_token(_KEY, _FLOORS))
    with pytest.raises(TokenError):
        many = {f'group{number}': Position(1, 1) for number in range(MAX_GROUPS + 1)}
        encode_token(_KEY, many)


def test_floors_never_fall():
    """An old token must not lower what the session has seen."""
    floors = Floors()
    floors.raise_to('tickets', Position(2, 5))
    floors.merge({'tickets': Position(1, 90)})
    assert floors.get('tickets') == Position(2, 5)
