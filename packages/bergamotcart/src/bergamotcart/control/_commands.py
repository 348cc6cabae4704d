"""Commands of the replicated control state and their encoding."""

from typing import Final

import msgspec

from bergamotcart import documents
from bergamotcart.control._packing import PackingError, pack, unpack
from bergamotcart.control._state import InstanceRow

COMMAND_FORMAT: Final = 1


class AdmitEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds an incarnation of an entry to the roster."""

    name: str
    incarnation: str
    availability_zone: str
    address: str


class RemoveEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an incarnation of an entry, whose lease has ended, from the roster."""

    name: str
    incarnation: str


class ChangeSection(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Changes one section of the document; the change is evaluated when it is applied.

    The operator's token is a secret and is not stored in the log.

    :param administrator: whether the leader has verified that the token is the administrator's.
        That token is a setting of each member, so it cannot be checked when the record is
        applied.
    :param token_hash: SHA-256 of the operator's token.
    """

    change: documents.Change
    administrator: bool
    token_hash: str


class ReplaceDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Replaces the sections of a whole document, unless the current one is as new.

    :param version: version that the operator assigned; the document with the highest one wins.
    :param body: JSON text of the section of routes.
    :param workspaces: JSON text of the section of workspaces, or empty without them.
    :param source: document as the operator sent it, which is returned unchanged when read.
    """

    version: int
    body: str
    source: str
    workspaces: str = ''


class FreezeGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops writes to a group whose current term is ``term``."""

    group: str
    term: int


class HoldGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Marks a frozen group as read-only because too few instances answer."""

    group: str
    term: int


class PromoteGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Appoints the new primary of a frozen group.

    :param frozen_term: term at which the group is frozen.
    :param term: term of the new primary.
    :param log_term: log term of the chosen instance's last record; ``None`` if the terms of the
        group are not those of its log.
    :param position: position of that record.
    :param decided_by: member that made the decision, if an authority promotes the instance.
    :param decided_in: control term in which that member decided.
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
    """Opens a group for writes at the term of its promoted primary.

    :param settled: whether the authority has answered every call for this promotion.
    """

    group: str
    term: int
    settled: bool = False


class NoteInstance(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stores the addresses of an instance."""

    row: InstanceRow


class ForgetInstance(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an instance that has not announced itself for a long time."""

    group: str
    instance: str


class SettleCaps(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that no credits of leaders before this term are in use.

    It is written only where the document caps workspaces. The next leader may then use the part of
    the allowance that is reserved for it.
    """

    term: int


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
    | SettleCaps
)


class _VersionedCommand(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    command: Command


class CommandError(ValueError):
    """A committed command cannot be decoded.

    It must not be skipped, because the states of the members would then diverge.
    """


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_VersionedCommand)


def encode_command(command: Command) -> bytes:
    """Encode a command for the replicated log."""
    return pack(_ENCODER.encode(_VersionedCommand(version=COMMAND_FORMAT, command=command)))


def decode_command(encoded: bytes) -> Command:
    """Decode a command of the replicated log.

    :param encoded: bytes of a log record.
    :returns: the command.
    :raises CommandError: if the bytes are malformed or have an unsupported format.
    """
    try:
        versioned_command = _DECODER.decode(unpack(encoded))
    except (msgspec.MsgspecError, PackingError) as error:
        raise CommandError(f'malformed command in the replicated log: {error}') from error
    if versioned_command.version != COMMAND_FORMAT:
        raise CommandError(
            f'unsupported command format {versioned_command.version}, expected {COMMAND_FORMAT}'
        )
    return versioned_command.command
