"""Configuration and outputs of a consensus node."""

import enum
from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus._durable import Persist, Snapshot


@enum.unique
class Role(enum.StrEnum):
    """Role of a member in its current term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True, slots=True, kw_only=True)
class InitialMember:
    """A member that forms the group when every data folder is empty."""

    name: str
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusConfig:
    """What a consensus node is told at start; times are in seconds.

    :param initial_members: the same on every initial member; may include this one.
    :param started_at: time at which the process started, in seconds; a promise of a former start
        to a leader was made before. ``None`` counts the first tick as the start.
    :param tolerated_losses: members that may be lost at once, for which the leader keeps enough
        voters by itself; ``None`` leaves that to the operator.
    :param may_found: whether they may form a group, if every data folder is empty; otherwise
        they are only asked for admission.
    :param election_timeout_s: least and greatest election timeout. A member that heard
        from a leader less than the least timeout ago gives no vote.
    :param lease_s: age from which an answer to an append no longer counts for the
        check-quorum; it is capped at the least election timeout less the drift margin.
    :param drift_margin: share by which clocks may run at different speeds.
    :param trailing_records: records kept in memory behind a snapshot, so that a member
        that lags a little needs no snapshot.
    :param part_bytes: size in bytes of the records or the part of a snapshot in one message.
    """

    name: str
    address: str
    availability_zone: str
    initial_members: tuple[InitialMember, ...]
    election_timeout_s: tuple[float, float] = (0.4, 0.8)
    heartbeat_s: float = 0.1
    lease_s: float = 1.0
    drift_margin: float = 0.02
    seed: int = 0
    may_found: bool = True
    tolerated_losses: int | None = None
    started_at: float | None = None
    trailing_records: int = 256
    part_bytes: int = 256 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleChange:
    """The role, the term or the known leader of this member changed."""

    role: Role
    term: int
    leader: str | None
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusOutputs:
    """What a caller must do after driving a node.

    :param sends: messages that depend on no pending batch.
    :param batches: to be written and synced in order, each confirmed by ``persisted``.
    :param snapshot: state to load before ``committed`` is applied.
    :param committed: newly committed records, in order and without gaps.
    :param role_changes: in order.
    """

    sends: tuple[Send, ...] = ()
    batches: tuple[Persist, ...] = ()
    snapshot: Snapshot | None = None
    committed: tuple[messages.LogEntry, ...] = ()
    role_changes: tuple[RoleChange, ...] = ()
