"""Announcements of targets and their relay between processes."""

import enum

import msgspec


@enum.unique
class TargetRole(enum.StrEnum):
    """Role that an instance believes it has."""

    primary = 'primary'
    replica = 'replica'


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance says about itself.

    :param incarnation: changes with each start of the instance.
    :param sequence: raised with each announcement of one incarnation.
    :param term: newest term that the instance has accepted an order for.
    :param log_term: term of its last log record.
    :param position: position of its last log record.
    :param slots: statements that it executes at the same time.
    :param connection_limit: open client connections that it accepts.
    :param echo: clock value that the receiving entry answered last, or ``None``.
    """

    group: str
    instance: str
    availability_zone: str
    address: str
    admin_address: str
    role: TargetRole
    term: int
    log_term: int
    position: int
    slots: int
    connection_limit: int
    incarnation: str
    sequence: int
    leaving: bool = False
    following: str | None = None
    echo: float | None = None


class Sighting(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement together with its proved greatest age at the sender.

    :param age_s: seconds; the announcement was made at most this long ago.
    """

    announcement: Announcement
    age_s: float


class RelayPull(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for the targets that announced themselves to it directly.

    :param sent_at: clock of the puller, in seconds.
    """

    sent_at: float


class RelayBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a pull.

    :param echo_sent_at: ``sent_at`` of the pull, so that the puller can bound the
        age of each sighting on its own clock even when the answer was buffered.
    """

    echo_sent_at: float
    sightings: tuple[Sighting, ...]
