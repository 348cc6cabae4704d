"""Commands of the replicated control state and their encoding."""

from typing import Final

import msgspec

from bergamotcart import documents
from bergamotcart.control._state import InstanceRow

COMMAND_FORMAT: Final = 1


class AdmitEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds an entry's incarnation to the roster."""

    name: str
    incarnation: str
    availability_zone: str
    address: str


class RemoveEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an entry's incarnation, whose lease cannot exist any more."""

    name: str
    incarnation: str


class ChangeSection(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Changes one section of the document; evaluated when it is applied.

    The token itself is a secret and stays out of the log.

    :param administrator: the leader has verified the administrator's token, which is a
        setting of each member and therefore cannot be checked when the record is applied.
    :param token_hash: SHA-256 of the operator's token.
    """

    change: documents.Change
    administrator: bool
    token_hash: str


class ReplaceDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replaces the section of routes by a whole document, unless it is not newer.

    :param version: version that the operator gave it; the highest one counts.
    :param body: JSON text of the section.
    :param source: the document as the operator sent it, to be read back unchanged.
    """

    version: int
    body: str
    source: str


class FreezeGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops writes to a group at ``term``."""

    group: str
    term: int


class HoldGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Marks a frozen group as read-only because too few instances answer."""

    group: str
    term: int


class PromoteGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Names the new primary of a frozen group.

    :param frozen_term: term at which the group is frozen.
    :param log_term: log term of the chosen instance's last record; ``None`` if the group's
        terms are not those of its log.
    :param position: position of that record.
    :param decided_by: member that decided, if an authority promotes the instance.
    :param decided_in: control term in which it decided.
    """

    group: str
    frozen_term: int
    term: int
    primary: str
    log_term: int | None
    position: int
    decided_by: str = ''
    decided_in: int = 0


class OpenGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Opens a group at the term of its promoted primary."""

    group: str
    term: int


class NoteInstance(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stores the addresses of an instance."""

    row: InstanceRow


class ForgetInstance(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an instance that was not seen for long."""

    group: str
    instance: str


Command = (
    AdmitEntry
    | RemoveEntry
    | ChangeSection
    | ReplaceDocument
    | FreezeGroup
    | HoldGroup
    | PromoteGroup
    | OpenGroup
    | NoteInstance
    | ForgetInstance
)


class _Frame(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    command: Command


class CommandError(ValueError):
    """A committed command is not understood; skipping it would make the members differ."""


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Frame)


def encode_command(command: Command) -> bytes:
    """Return the form of a command in the replicated log."""
    return _ENCODER.encode(_Frame(version=COMMAND_FORMAT, command=command))


def decode_command(encoded: bytes) -> Command:
    """Decode a command of the replicated log.

    :param encoded: bytes of a log record.
    :returns: the command.
    :raises CommandError: if the bytes are malformed or of another format.
    """
    try:
        frame = _DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise CommandError(f'malformed command: {error}') from error
    if frame.version != COMMAND_FORMAT:
        raise CommandError(f'command format {frame.version}, expected {COMMAND_FORMAT}')
    return frame.command
