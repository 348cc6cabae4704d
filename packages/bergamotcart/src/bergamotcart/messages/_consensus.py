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
    """Asks whether a vote would be granted, without raising any term.

    :param members: membership in the candidate's log; empty when it asks to form a group.
    :param initial_members: names of the initial members, when it asks to form a group.
    """

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...] = ()
    initial_members: tuple[str, ...] = ()


class PreVoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a pre-vote.

    :param term: the proposed term if granted, otherwise the term of the answering member.
    :param candidate_incarnation: incarnation that asked.
    """

    term: int
    granted: bool
    candidate_incarnation: str


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a vote in ``term``; the other fields are those of ``PreVoteRequest``."""

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...] = ()
    initial_members: tuple[str, ...] = ()


class VoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a vote request.

    :param candidate_incarnation: incarnation that asked.
    """

    term: int
    granted: bool
    candidate_incarnation: str


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
    """Transfers part of a snapshot to a member whose missing records are compacted away.

    :param offset: position of ``state`` in the encoded state, in bytes.
    :param total_bytes: length of the whole encoded state.
    """

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...]
    state: bytes
    offset: int
    total_bytes: int
    sent_at: float


class SnapshotResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a part of a snapshot.

    :param received_bytes: length received so far without a gap.
    :param installed: true once the whole snapshot is synced.
    """

    term: int
    last_index: int
    received_bytes: int
    installed: bool
    echo_sent_at: float


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A member that is not a voter reports its incarnation to the leader.

    :param member: name, incarnation, address and availability zone of the newcomer.
    :param echo_term: term of the newest ``JoinResponse`` received, or 0.
    :param echo_sent_at: ``sent_at`` of that response; it proves that the request is recent.
    """

    member: LogMember
    echo_term: int = 0
    echo_sent_at: float = 0.0


class JoinResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The leader asks a newcomer to prove that it is alive, by repeating these values."""

    term: int
    incarnation: str
    sent_at: float
