"""Tests of the codec, which must reject invalid messages between processes."""

import pytest

from bergamotcart import messages


def _envelope(domain: str = 'today') -> messages.Envelope:
    return messages.Envelope(
        version=messages.FORMAT_VERSION,
        domain=domain,
        sender='entry-1',
        incarnation='i1',
        sender_address='tcp://127.0.0.1:1',
        recipient='control-1',
        body=messages.StateAck(applied_index=3, revision=2),
    )


def test_encoded_message_round_trips():
    """A field lost in encoding would change what a peer acknowledges."""
    assert messages.decode(messages.encode(_envelope()), 'today') == _envelope()


@pytest.mark.parametrize(
    'damaged',
    [
        b'',
        b'\xff\x00garbage',
        messages.encode(_envelope())[:-4],
        messages.encode(_envelope('other')),
        b'\x00' * (messages.MAX_MESSAGE_BYTES + 1),
    ],
)
def test_invalid_messages_are_rejected(damaged):
    """Truncated or oversized input, or another control domain, must raise ``DecodeError``."""
    with pytest.raises(messages.DecodeError):
        messages.decode(damaged, 'today')
