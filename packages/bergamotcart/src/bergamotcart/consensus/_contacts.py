"""Contact of a member to the other members of the log, for logs and metrics."""

import msgspec


class MemberContact(msgspec.Struct, frozen=True, kw_only=True):
    """What a member has last received from a member of its log.

    :param is_self: whether this is the member itself.
    :param heard_at: time of the newest message of the log, in seconds; ``None`` without one.
    :param vote_answer: newest answer of a process of this name to a request for a pre-vote or a
        vote; empty without one.
    """

    name: str
    incarnation: str
    voter: bool
    is_self: bool
    heard_at: float | None = None
    vote_answer: str = ''
