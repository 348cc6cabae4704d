"""Membership rules: majorities, changes of one voter, and readmission of a member."""

from collections.abc import Collection, Iterable

from msgspec.structs import replace

from bergamotcart.messages import LogMember

Members = tuple[LogMember, ...]


def identity(name: str, incarnation: str) -> str:
    """Return the identity of a member: its name and the incarnation of its data folder."""
    return f'{name}/{incarnation}'


def member_id(member: LogMember) -> str:
    """Return the identity of a member of the log."""
    return identity(member.name, member.incarnation)


def voter_ids(members: Iterable[LogMember]) -> frozenset[str]:
    """Return the identities of the voters."""
    return frozenset(member_id(member) for member in members if member.voter)


def is_majority(granted: Collection[str], voters: frozenset[str]) -> bool:
    """Whether the identities include more than half of the voters."""
    return 2 * len(voters.intersection(granted)) > len(voters)


def find_member(members: Iterable[LogMember], name: str) -> LogMember | None:
    """Return the member with a name, or ``None``."""
    return next((member for member in members if member.name == name), None)


def find_predecessor(members: Members, successor: LogMember) -> LogMember | None:
    """Return the last voter of the same availability zone that was admitted before a member.

    :param members: all members in the order of their admission.
    :param successor: one of them.
    """
    earlier = members[: members.index(successor)]
    return next(
        (
            member
            for member in reversed(earlier)
            if member.voter and member.availability_zone == successor.availability_zone
        ),
        None,
    )


def find_change_violation(old: Members, new: Members) -> str | None:
    """Return the rule that a change of the membership violates.

    Every majority of the old voters must overlap every majority of the new ones, so at most one
    voter may be added or removed; the replacement of a voter takes two changes.

    :param old: membership in force.
    :param new: proposed membership.
    :returns: the violation, or ``None`` if the change is allowed.
    """
    if len({member.name for member in new}) != len(new):
        return 'a member name occurs more than once'
    if not voter_ids(new):
        return 'the new membership has no voter'
    if len(voter_ids(old) ^ voter_ids(new)) > 1:
        return 'more than one voter is added or removed'
    return None


def readmission_step(members: Members, newcomer: LogMember, *, caught_up: bool) -> Members | None:
    """Return the next membership towards giving a newcomer a vote.

    First the newcomer replaces the member of its name as a non-voter. Once it has caught up, it
    becomes a voter.

    :param members: membership in force.
    :param newcomer: the member as it reported itself.
    :param caught_up: whether it holds all committed records.
    :returns: the membership to propose, or ``None`` if no change is due.
    """
    present = find_member(members, newcomer.name)
    if present is None or present.incarnation != newcomer.incarnation:
        others = tuple(member for member in members if member.name != newcomer.name)
        return (*others, replace(newcomer, voter=False))
    if present.voter or not caught_up:
        return None
    others = tuple(member for member in members if member.name != newcomer.name)
    return (*others, replace(present, voter=True))
