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
    :param started_at_ms: time of this start, in Unix milliseconds on the instance's clock; 0 if
        it does not say. The later one of two starts of an instance counts.
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
    started_at_ms: int = 0


class Sighting(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement together with its proved greatest age at the sender.

    :param age_s: seconds; the announcement was made at most this long ago.
    """

    announcement: Announcement
    age_s: float


class RelayPull(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for the targets that announced themselves to it directly.

    :param sent_at: clock of the puller, in seconds.
    :param known_version: version of the peer's sightings that the puller holds; 0 for none.
    :param known_incarnation: incarnation of the peer that counted this version.
    """

    sent_at: float
    known_version: int = 0
    known_incarnation: str = ''


class RelayBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a pull.

    :param echo_sent_at: ``sent_at`` of the pull, so that the puller can bound the
        age of each sighting on its own clock even when the answer was buffered.
    :param sightings: all targets for ``base_version`` 0, else those that changed after it.
    :param version: version of the sightings after this answer.
    :param unchanged_age_s: greatest age, in seconds, of the targets that are not listed.
    :param silent: group and instance of targets that do not announce themselves any more.
    """

    echo_sent_at: float
    sightings: tuple[Sighting, ...]
    base_version: int = 0
    version: int = 0
    unchanged_age_s: float = 0.0
    silent: tuple[tuple[str, str], ...] = ()
