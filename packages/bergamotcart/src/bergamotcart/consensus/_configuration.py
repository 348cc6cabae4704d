"""Configuration and outputs of a consensus node."""

import enum

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._durable_state import Snapshot, WriteBatch


@enum.unique
class Role(enum.StrEnum):
    """Role of a member in its current term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class InitialMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member that forms the group when every data folder is empty."""

    name: str
    address: str
    availability_zone: str


class ConsensusConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of a consensus node; times are in seconds.

    :param initial_members: the same on every initial member; may include this one.
    :param started_at: time at which the process started, in seconds. Every response of an earlier
        start to a leader was sent before this time. ``None`` uses the time of construction.
    :param tolerated_losses: number of members that may fail at the same time; the leader keeps
        enough voters for it automatically. ``None`` leaves membership to the operator.
    :param may_bootstrap: whether the initial members may form a group if every data folder is
        empty; otherwise this member asks them for admission, and votes only for a candidate that
        most initial members support with the same setting.
    :param election_timeout_s: least and greatest election timeout. A member that had contact
        with a leader less than the least timeout ago grants no vote.
    :param leader_heartbeat_interval_s: interval between the heartbeats of a leader.
    :param check_quorum_window_s: age from which a response to an append no longer counts for the
        check-quorum; it is capped at the least election timeout less the drift margin.
    :param drift_margin: fraction by which the rates of two clocks may differ.
    :param seed: seed of the random election timeouts, together with name and incarnation.
    :param trailing_records: records kept in memory before the index of a snapshot, so that a
        member that is only slightly behind needs no snapshot.
    :param trailing_bytes: maximum size in bytes of these records.
    :param catch_up_bytes: maximum size in bytes of the records kept in memory for members that
        respond but do not have them yet, so that a snapshot being sent is followed by records.
    :param window_bytes: size in bytes of the unacknowledged records or snapshot chunks from which
        a leader sends no more to a member.
    :param part_bytes: maximum size in bytes of the records, or of the snapshot chunk, in one
        message. A single record may be larger.
    """

    name: str
    address: str
    availability_zone: str
    initial_members: tuple[InitialMember, ...]
    election_timeout_s: tuple[float, float] = (0.4, 0.8)
    leader_heartbeat_interval_s: float = 0.1
    check_quorum_window_s: float = 1.0
    drift_margin: float = 0.02
    seed: int = 0
    may_bootstrap: bool = True
    tolerated_losses: int | None = None
    started_at: float | None = None
    trailing_records: int = 256
    trailing_bytes: int = 4 * 1024 * 1024
    catch_up_bytes: int = 32 * 1024 * 1024
    window_bytes: int = 2 * 1024 * 1024
    part_bytes: int = 256 * 1024


class RoleChange(msgspec.Struct, frozen=True, kw_only=True):
    """Change of the role, the term or the known leader of this member."""

    role: Role
    term: int
    leader: str | None
    reason: str


class ConsensusOutputs(msgspec.Struct, frozen=True, kw_only=True):
    """Actions that the caller must perform after it has driven a node.

    :param sends: messages that depend on no pending batch.
    :param batches: batches to write and sync in order; the caller acknowledges each
        by ``persisted``.
    :param snapshot: state to load before ``committed`` is applied.
    :param committed: newly committed records, in order and without gaps.
    :param role_changes: changes of role, term or known leader, in order.
    """

    sends: tuple[Send, ...] = ()
    batches: tuple[WriteBatch, ...] = ()
    snapshot: Snapshot | None = None
    committed: tuple[messages.LogEntry, ...] = ()
    role_changes: tuple[RoleChange, ...] = ()
