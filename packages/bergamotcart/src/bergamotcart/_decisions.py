"""Decisions, which the daemon logs and counts."""

import msgspec


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision about routing, placement, a retry, a refusal or an election.

    :param system: component that decided, such as ``routing`` or ``failover``.
    :param action: what was decided, such as ``send_to_replica``.
    :param reason: short identifier of the reason.
    :param request: number of the request concerned, if any.
    :param session: number of the session concerned, if any.
    :param detail: further text for the log.
    :param statement: identifier that the caller gave to the statement.
    :param is_frequent: whether the log sums up decisions of this system, action and reason.
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
    is_frequent: bool = False
