"""Membership changes that a leader makes by itself: who joins, who gets a vote, who leaves.

Each call returns one step. Voters are added up to the number that the tolerated losses need; a voter
that has been silent for long gives way only once another member has caught up to replace it, so
that no step leaves fewer copies of the accepted state than the one before it.
"""

from typing import Final

from msgspec.structs import replace

from bergamotcart.consensus._core import Core
from bergamotcart.consensus._joining import Joining
from bergamotcart.consensus._leadership import Leadership
from bergamotcart.consensus._membership import Members, find_member, member_id, voter_ids
from bergamotcart.messages import LogMember

# A voter that restarts, freezes or is cut off for a few seconds comes back with its disk, which is
# better than a new copy.
REPLACE_AFTER_S: Final = 2.0
# A member without a vote costs little, so it is forgotten later.
FORGET_AFTER_S: Final = 30.0


def count_voters(tolerated_losses: int) -> int:
    """Return the number of voters of which so many may be lost at once."""
    return 2 * tolerated_losses + 1


class Succession:
    """Finds the next step for a leader.

    :param tolerated_losses: members that may be lost at once.
    """

    __slots__ = ('_core', '_joining', '_voters')

    def __init__(self, core: Core, joining: Joining, tolerated_losses: int) -> None:
        """Keep the state of this member."""
        self._core = core
        self._joining = joining
        self._voters = count_voters(tolerated_losses)

    def find_step(self, leadership: Leadership) -> Members | None:
        """Return the membership to propose next, or ``None`` if nothing is to be done."""
        step = self._admit(leadership) or self._give_vote(leadership)
        return step or self._retire(leadership) or self._forget(leadership)

    def _admit(self, leadership: Leadership) -> Members | None:
        """Let a newcomer take part without a vote."""
        members = self._core.members
        for newcomer in self._joining.newcomers:
            known = find_member(members, newcomer.name)
            if known is None:
                return (*members, replace(newcomer, voter=False))
            if not leadership.answers(known):
                others = tuple(member for member in members if member.name != newcomer.name)
                return (*others, replace(newcomer, voter=False))
        return None

    def _give_vote(self, leadership: Leadership) -> Members | None:
        if len(voter_ids(self._core.members)) >= self._voters:
            return None
        successor = self._find_successor(leadership)
        return None if successor is None else self._change_vote(successor, voter=True)

    def _retire(self, leadership: Leadership) -> Members | None:
        """Take the vote from a voter that is gone, if another member can take its place."""
        if self._find_successor(leadership) is None:
            return None
        for member in self._core.members:
            silent_s = leadership.silent_for(member)
            if member.voter and silent_s >= REPLACE_AFTER_S:
                return self._change_vote(member, voter=False)
        return None

    def _forget(self, leadership: Leadership) -> Members | None:
        """Remove a member without a vote that is gone."""
        members = self._core.members
        for member in members:
            if not member.voter and leadership.silent_for(member) >= FORGET_AFTER_S:
                return tuple(other for other in members if other is not member)
        return None

    def _find_successor(self, leadership: Leadership) -> LogMember | None:
        for member in self._core.members:
            if not member.voter and leadership.is_caught_up(member):
                return member
        return None

    def _change_vote(self, changed: LogMember, *, voter: bool) -> Members:
        return tuple(
            replace(member, voter=voter) if member_id(member) == member_id(changed) else member
            for member in self._core.members
        )
