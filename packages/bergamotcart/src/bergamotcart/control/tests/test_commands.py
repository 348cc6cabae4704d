"""Tests of the encoding of commands."""

import msgspec
import pytest

from bergamotcart.control import _commands as commands
from bergamotcart.control.tests._authority_world import GROUP, make_body


def _make_replacement() -> commands.ReplaceDocument:
    body = make_body(**{f'database-{number}': GROUP for number in range(1000)})
    return commands.ReplaceDocument(version=2, body=body, source=body)


def test_record_of_large_document_is_small():
    """Each change is stored on all members, and sent to them between regions."""
    replacement = _make_replacement()
    encoded = commands.encode_command(replacement)
    assert len(encoded) < len(replacement.body) / 4
    assert commands.decode_command(encoded) == replacement


def test_uncompressed_record_of_earlier_version_is_read():
    """Data folders of earlier versions hold such records."""
    replacement = _make_replacement()
    tagged = {'type': 'ReplaceDocument'} | msgspec.structs.asdict(replacement)
    encoded = msgspec.msgpack.encode({'version': commands.COMMAND_FORMAT, 'command': tagged})
    assert commands.decode_command(encoded) == replacement


def test_truncated_record_is_refused():
    """A damaged record must not be applied in part."""
    encoded = commands.encode_command(_make_replacement())
    with pytest.raises(commands.CommandError, match='malformed'):
        commands.decode_command(encoded[:-10])
