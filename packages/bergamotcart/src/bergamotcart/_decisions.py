"""Decisions that the daemon logs and counts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One routing, placement, retry, refusal or election decision.

    :param system: part that decided, such as ``routing`` or ``failover``.
    :param action: what was decided, such as ``send_to_replica``.
    :param reason: why.
    :param statement: the caller's own identifier of the statement.
    """

    system: str
    action: str
    reason: str
    request: int | None = None
    session: int | None = None
    caller: str | None = None
    group: str | None = None
    target: str | None = None
    term: int | None = None
    detail: str = ''
    statement: str | None = None
