"""Faults of a link."""

import enum

import msgspec


@enum.unique
class Drop(enum.StrEnum):
    """Which direction of a link loses everything."""

    none = 'none'
    both = 'both'
    to_target = 'to_target'
    to_source = 'to_source'


class LinkSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a link treats what passes.

    :param delay: one-way latency, in seconds.
    :param jitter: greatest random addition to the delay, in seconds.
    :param drop: direction that loses everything. A connection that lost bytes is reset when the
        drop ends, since the rest of its stream would be out of step.
    :param hold: keep everything, and deliver it late, when the hold ends.
    :param bytes_per_second: rate limit of each direction, or 0 for none.
    """

    delay: float = 0.0
    jitter: float = 0.0
    drop: Drop = Drop.none
    hold: bool = False
    bytes_per_second: float = 0.0

    def drops(self, direction: Drop) -> bool:
        """Tell whether a direction loses everything."""
        return self.drop in {Drop.both, direction}

    @property
    def passes_nothing(self) -> bool:
        """Whether a new connection cannot be made."""
        return self.hold or self.drop is not Drop.none


class LinkAddress(msgspec.Struct, frozen=True, kw_only=True):
    """A link to add: what connects to ``listen`` is relayed to ``target``."""

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
    """A link as reported."""

    name: str
    listen: str
    target: str
    settings: LinkSettings
    connections: int
    target_connections: int
    relayed_bytes: int
