"""Settings and state of a link, as sent over HTTP."""

import enum

import msgspec


@enum.unique
class Drop(enum.StrEnum):
    """Direction in which a link drops all bytes."""

    none = 'none'
    both = 'both'
    to_target = 'to_target'
    to_source = 'to_source'


class LinkSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Delay, loss and rate limit of a link.

    :param delay: one-way latency, in seconds.
    :param jitter: maximum random addition to the delay, in seconds.
    :param drop: direction that drops all bytes. A connection with dropped bytes is reset when the
        drop ends, since its stream would continue with a gap.
    :param hold: queue all bytes, and deliver them when the hold ends.
    :param bytes_per_second: rate limit of each direction, or 0 for none.
    """

    delay: float = 0.0
    jitter: float = 0.0
    drop: Drop = Drop.none
    hold: bool = False
    bytes_per_second: float = 0.0

    def drops(self, direction: Drop) -> bool:
        """Return whether all bytes of a direction are dropped."""
        return self.drop in {Drop.both, direction}

    @property
    def blocks_new_connections(self) -> bool:
        """Whether new connections to the target cannot be opened."""
        return self.hold or self.drop is not Drop.none


class LinkAddress(msgspec.Struct, frozen=True, kw_only=True):
    """A link to add: connections to ``listen`` are relayed to ``target``."""

    name: str
    listen: str
    target: str


class LinkChange(msgspec.Struct, frozen=True, kw_only=True):
    """New settings for all links whose name matches a pattern with wildcards."""

    pattern: str
    settings: LinkSettings


class LinkReset(msgspec.Struct, frozen=True, kw_only=True):
    """Resets the connections of all links whose name matches a pattern with wildcards."""

    pattern: str


class LinkState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a link."""

    name: str
    listen: str
    target: str
    settings: LinkSettings
    connections: int
    target_connections: int
    relayed_bytes: int
