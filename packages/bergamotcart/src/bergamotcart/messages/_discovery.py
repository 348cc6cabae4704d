"""Announcements of targets, and their relay between processes."""

import enum

import msgspec

from bergamotcart.messages._integers import Count


@enum.unique
class TargetRole(enum.StrEnum):
    """Role that an instance reports for itself."""

    primary = 'primary'
    replica = 'replica'


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """State that an instance reports about itself.

    :param incarnation: identity of this start of the instance; changes with each start.
    :param sequence: number of the announcement, increasing within one incarnation.
    :param term: newest term of an order that the instance has accepted.
    :param log_term: term of its last log record.
    :param position: position of its last log record.
    :param slots: number of statements that it executes at the same time.
    :param connection_limit: number of open client connections that it accepts.
    :param echo: clock value in the last answer of the receiving entry, or ``None``.
    :param started_at_ms: time of this start, in Unix milliseconds on the instance's clock; 0 if
        it is not reported. Of two starts of an instance, the later one is used.
    """

    group: str
    instance: str
    availability_zone: str
    address: str
    admin_address: str
    role: TargetRole
    term: Count
    log_term: Count
    position: Count
    slots: Count
    connection_limit: Count
    incarnation: str
    sequence: Count
    leaving: bool = False
    following: str | None = None
    echo: float | None = None
    started_at_ms: Count = 0


class RelayedAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement with a proven upper bound of its age at the sender.

    :param age_s: upper bound of the time since the announcement was made, in seconds.
    """

    announcement: Announcement
    age_s: float


class RelayPull(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for the announcements that targets sent to it directly.

    :param sent_at: clock of the requester, in seconds.
    :param known_version: version of the peer's announcements that the requester has; 0 for none.
    :param known_incarnation: incarnation of the peer that assigned this version.
    :param includes_relayed: whether the peer also sends the announcements that it got from others.
    """

    sent_at: float
    known_version: int = 0
    known_incarnation: str = ''
    includes_relayed: bool = False


class RelayBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a ``RelayPull``.

    :param echo_sent_at: ``sent_at`` of the request, so that the requester can bound the
        age of each announcement on its own clock even when the answer was buffered.
    :param sightings: all targets if ``base_version`` is 0, else those that changed after it.
    :param version: version of the announcements after this answer.
    :param unchanged_age_s: greatest age, in seconds, of the announcements of targets not listed.
    :param silent: group and instance of targets that have stopped announcing themselves.
    :param covered: processes whose recent announcements this answer includes, so that the requester
        need not pull from them.
    """

    echo_sent_at: float
    sightings: tuple[RelayedAnnouncement, ...]
    base_version: int = 0
    version: int = 0
    unchanged_age_s: float = 0.0
    silent: tuple[tuple[str, str], ...] = ()
    covered: tuple[str, ...] = ()
