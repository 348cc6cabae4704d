"""Compression of messages with a preset dictionary.

Most bytes of a short message are field names. A dictionary of these names halves its size, and
a lease request with nine targets shrinks to a quarter.
"""

import zlib
from typing import Final

import msgspec

from bergamotcart import messages

# Both ends need the same dictionary, so these words may change only together with the format
# version of messages. Names that are missing here are compressed less well. The most frequent
# ones come last, where zlib encodes references to them in the fewest bits.
_DICTIONARY_WORDS: Final = """
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
_DICTIONARY: Final = b''.join(map(msgspec.msgpack.encode, _DICTIONARY_WORDS.split()))
# The fastest level; higher levels save only a few bytes on short messages.
_COMPRESSION_LEVEL: Final = 1
_WINDOW_BITS: Final = 15
_MEMORY_LEVEL: Final = 8
# First byte of a zlib stream; an uncompressed message starts with a MessagePack map byte.
_ZLIB_FIRST_BYTE: Final = 0x78
# Compressing a longer message would block the event loop for more than 1 ms.
_MAX_COMPRESSIBLE_BYTES: Final = 65536


def compress(encoded: bytes) -> bytes:
    """Compress a message for sending; long messages are returned unchanged.

    :param encoded: message in MessagePack format.
    """
    if len(encoded) > _MAX_COMPRESSIBLE_BYTES:
        return encoded
    compressor = zlib.compressobj(
        _COMPRESSION_LEVEL,
        zlib.DEFLATED,
        _WINDOW_BITS,
        _MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        _DICTIONARY,
    )
    return compressor.compress(encoded) + compressor.flush()


def decompress(received: bytes) -> bytes:
    """Decompress a received message to its MessagePack format.

    :param received: bytes from a peer, compressed or not.
    :raises DecodeError: if the bytes are malformed, truncated or too long.
    """
    if not received or received[0] != _ZLIB_FIRST_BYTE:
        return received
    decompressor = zlib.decompressobj(_WINDOW_BITS, _DICTIONARY)
    try:
        encoded = decompressor.decompress(received, messages.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise messages.DecodeError(f'decompression failed: {error}') from error
    if not decompressor.eof:
        raise messages.DecodeError(
            f'truncated, or longer than {messages.MAX_MESSAGE_BYTES} bytes after decompression',
        )
    return encoded
