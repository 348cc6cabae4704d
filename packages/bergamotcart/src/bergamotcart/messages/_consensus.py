"""Messages of the replicated log between control members."""

import msgspec


class LogMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the replicated log.

    :param incarnation: random identity of its data folder; a member that lost its data folder
        returns with another incarnation and has no vote.
    :param address: inter-process address.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    voter: bool


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the replicated log.

    :param command: encoded command of the control state; empty for the first record of a leader
        and for a membership change.
    :param members: the complete membership, if this record changes it.
    """

    index: int
    term: int
    command: bytes = b''
    members: tuple[LogMember, ...] | None = None


class PreVoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks whether a vote would be granted, without a change of term.

    :param members: membership in the candidate's log; empty when it asks to form a group.
    :param initial_members: names of the initial members, when it asks to form a group.
    """

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...] = ()
    initial_members: tuple[str, ...] = ()


class PreVoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a pre-vote request.

    :param term: the proposed term if granted, otherwise the term of the answering member.
    :param candidate_incarnation: incarnation of the candidate that asked.
    :param reason: why the vote would be refused, for the log of the candidate.
    :param may_form_group: whether the answering member could form the group itself.
    """

    term: int
    granted: bool
    candidate_incarnation: str
    reason: str = ''
    may_form_group: bool = False


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a vote in ``term``; the other fields are those of ``PreVoteRequest``."""

    term: int
    last_index: int
    last_term: int
    members: tuple[LogMember, ...] = ()
    initial_members: tuple[str, ...] = ()


class VoteResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a vote request.

    :param candidate_incarnation: incarnation of the candidate that asked.
    :param reason: why the vote was refused, for the log of the candidate.
    :param may_form_group: whether the answering member could form the group itself.
    """

    term: int
    granted: bool
    candidate_incarnation: str
    reason: str = ''
    may_form_group: bool = False


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replicates log records; without records it is a heartbeat of the leader.

    :param sent_at: clock of the leader, in seconds; the response repeats it for the check-quorum.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    records: tuple[LogEntry, ...] = ()


class AppendResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers an append.

    :param match_index: index up to which the logs agree; if ``success`` is false, the index
        after which the leader should retry.
    :param echo_sent_at: ``sent_at`` of the append.
    """

    term: int
    success: bool
    match_index: int
    echo_sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Transfers a chunk of a snapshot to a member whose missing records were compacted.

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
    """Answers a chunk of a snapshot.

    :param received_bytes: number of bytes received so far without a gap.
    :param installed: true once the whole snapshot is synced.
    """

    term: int
    last_index: int
    received_bytes: int
    installed: bool
    echo_sent_at: float


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports the incarnation of a newcomer to the leader.

    :param member: name, incarnation, address and availability zone of the newcomer.
    :param echo_term: term of the newest ``JoinResponse`` received, or 0.
    :param echo_sent_at: ``sent_at`` of that response, as proof that the request is recent.
    """

    member: LogMember
    echo_term: int = 0
    echo_sent_at: float = 0.0


class JoinResponse(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a newcomer to repeat these values, as proof that its incarnation is running now."""

    term: int
    incarnation: str
    sent_at: float
