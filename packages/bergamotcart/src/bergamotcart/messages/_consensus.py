"""Messages of the replicated log between control members."""

import msgspec


class LogMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the replicated log.

    :param incarnation: random identity of its data folder; a member whose folder was
        emptied comes back under another one and has no vote.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    voter: bool


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the replicated log.

    :param command: encoded command of the control state; empty for a leader's first record.
    :param members: the complete membership, if this record changes it.
    """

    index: int
    term: int
    command: bytes = b''
    members: tuple[LogMember, ...] | None = None


class PreVoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks whether a vote would be granted, without raising any term."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a pre-vote; ``term`` is the proposed term."""

    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a vote in ``term``."""

    term: int
    last_index: int
    last_term: int


class VoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a vote request."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replicates log records; also the leader's heartbeat.

    :param sent_at: clock of the leader, in seconds, echoed for its check-quorum.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    records: tuple[LogEntry, ...] = ()


class AppendResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers an append.

    :param match_index: highest index known to agree, or a hint where to try next.
    """

    term: int
    success: bool
    match_index: int
    echo_sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Transfers the current state to a member whose missing records are compacted away."""

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...]
    state: bytes
    sent_at: float


class SnapshotResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a snapshot transfer."""

    term: int
    last_index: int
    echo_sent_at: float
