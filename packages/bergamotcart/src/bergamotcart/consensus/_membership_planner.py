"""Automatic membership changes of a leader: admission, promotion, demotion and removal.

Each call returns one change. Voters are added up to the number that the tolerated losses need. A
voter that does not respond is demoted only once another member has caught up to replace it, so
that no change leaves fewer copies of the committed state than before.
"""

from typing import Final

from msgspec.structs import replace

from bergamotcart.consensus._join_protocol import JoinProtocol
from bergamotcart.consensus._leadership import Leadership
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import Members, find_member, member_id, voter_ids
from bergamotcart.messages import LogMember

# Seconds without a response after which a voter may be replaced. A voter that restarts, hangs or is
# isolated for a shorter time returns with its disk, which is better than making a new copy.
DEMOTE_VOTER_AFTER_S: Final = 2.0
# Seconds without a response after which a non-voter is removed. A non-voter costs little, so this
# is longer.
REMOVE_NON_VOTER_AFTER_S: Final = 30.0


def required_voter_count(tolerated_losses: int) -> int:
    """Return the number of voters needed to tolerate a number of simultaneous losses."""
    return 2 * tolerated_losses + 1


class MembershipPlanner:
    """Finds the next automatic membership change for a leader.

    :param tolerated_losses: number of members that may fail at the same time.
    """

    __slots__ = ('_state', '_join_protocol', '_target_voter_count')

    def __init__(
        self, state: MemberState, join_protocol: JoinProtocol, tolerated_losses: int
    ) -> None:
        """Initialize with the state of this member and its join requests."""
        self._state = state
        self._join_protocol = join_protocol
        self._target_voter_count = required_voter_count(tolerated_losses)

    def find_next_membership(self, leadership: Leadership) -> Members | None:
        """Return the membership to propose next, or ``None`` if no change is due."""
        step = self._admit_newcomer(leadership) or self._promote_non_voter(leadership)
        return (
            step
            or self._demote_silent_voter(leadership)
            or self._remove_silent_non_voter(leadership)
        )

    def _admit_newcomer(self, leadership: Leadership) -> Members | None:
        """Admit a newcomer as a non-voter, also in place of a silent member of its name."""
        members = self._state.members
        for newcomer in self._join_protocol.newcomers:
            known = find_member(members, newcomer.name)
            if known is None:
                return (*members, replace(newcomer, voter=False))
            if not leadership.has_recent_response(known):
                others = tuple(member for member in members if member.name != newcomer.name)
                return (*others, replace(newcomer, voter=False))
        return None

    def _promote_non_voter(self, leadership: Leadership) -> Members | None:
        if len(voter_ids(self._state.members)) >= self._target_voter_count:
            return None
        promoted = self._find_caught_up_non_voter(leadership)
        return None if promoted is None else self._set_voter(promoted, voter=True)

    def _demote_silent_voter(self, leadership: Leadership) -> Members | None:
        """Demote a voter that does not respond, if another member has caught up to replace it."""
        if self._find_caught_up_non_voter(leadership) is None:
            return None
        for member in self._state.members:
            silent_s = leadership.seconds_since_response(member)
            if member.voter and silent_s >= DEMOTE_VOTER_AFTER_S:
                return self._set_voter(member, voter=False)
        return None

    def _remove_silent_non_voter(self, leadership: Leadership) -> Members | None:
        """Remove a non-voter that does not respond."""
        members = self._state.members
        for member in members:
            if (
                not member.voter
                and leadership.seconds_since_response(member) >= REMOVE_NON_VOTER_AFTER_S
            ):
                return tuple(other for other in members if other is not member)
        return None

    def _find_caught_up_non_voter(self, leadership: Leadership) -> LogMember | None:
        for member in self._state.members:
            if not member.voter and leadership.is_caught_up(member):
                return member
        return None

    def _set_voter(self, changed: LogMember, *, voter: bool) -> Members:
        return tuple(
            replace(member, voter=voter) if member_id(member) == member_id(changed) else member
            for member in self._state.members
        )
