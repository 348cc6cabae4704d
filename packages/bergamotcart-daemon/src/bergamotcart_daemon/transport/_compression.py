"""Compression of messages with a preset dictionary.

Most bytes of a short message are names of fields. A dictionary of these names halves it, and
a lease request of nine targets shrinks to a quarter.
"""

import zlib
from typing import Final

import msgspec

from bergamotcart import messages

# Both ends need the same dictionary, so the words below change only together with the format
# version of messages. Names that are missing here are merely compressed less. The most
# frequent ones come last, where they are cheapest to refer to.
_WORDS: Final = """
    JoinRequest JoinResponse LeaseRefusal PreVoteRequest PreVoteResponse SnapshotRequest
    SnapshotResponse StateAck StateUpdate VoteRequest VoteResponse branch_points
    candidate_incarnation command demand echo echo_term entries entries_limit from_index
    frozen granted groups index initial_members installed kind last_index last_term
    leader lent lent_in_use member members modified_index name offset open phase
    promoting read_only received_bytes refusing removed_entries removed_sections
    sections silent state to_index total_bytes voter availability_zone admin_address
    connection_limit following leaving sequence slots position log_term role replica
    primary announcement age_s sightings echo_sent_at RelayBatch RelayPull applied_index
    revision draining quota_use reports reachability reachable for_s group instance
    LeaseRequest LeaseGrant duration_s renew_after_s control_term current_index quotas
    AppendResponse success match_index AppendRequest previous_index previous_term
    commit_index records term sent_at type body version domain default sender
    incarnation sender_address address recipient
"""
_DICTIONARY: Final = b''.join(map(msgspec.msgpack.encode, _WORDS.split()))
# The fastest level: the others save few bytes of short messages.
_LEVEL: Final = 1
_WINDOW_BITS: Final = 15
_MEMORY_LEVEL: Final = 8
# A compressed message begins with this byte, an uncompressed one with that of a map.
_ZLIB_MARK: Final = 0x78
# Compressing a longer message would hold up the event loop for more than a millisecond.
_MAX_COMPRESSED_BYTES: Final = 65536


def compress(encoded: bytes) -> bytes:
    """Return the form in which a message is sent.

    :param encoded: MessagePack form of the message.
    """
    if len(encoded) > _MAX_COMPRESSED_BYTES:
        return encoded
    compressor = zlib.compressobj(
        _LEVEL,
        zlib.DEFLATED,
        _WINDOW_BITS,
        _MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        _DICTIONARY,
    )
    return compressor.compress(encoded) + compressor.flush()


def expand(received: bytes) -> bytes:
    """Return the MessagePack form of a received message.

    :param received: bytes from a peer, compressed or not.
    :raises DecodeError: if they are malformed, truncated or too long.
    """
    if not received or received[0] != _ZLIB_MARK:
        return received
    expander = zlib.decompressobj(_WINDOW_BITS, _DICTIONARY)
    try:
        encoded = expander.decompress(received, messages.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise messages.DecodeError(f'malformed compression: {error}') from error
    if not expander.eof:
        raise messages.DecodeError('truncated or too long after expansion')
    return encoded
