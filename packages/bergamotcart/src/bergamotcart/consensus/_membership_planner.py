"""Automatic membership changes of a leader: admission, promotion, demotion and removal.

Each call returns one change of at most one voter, so every majority before it overlaps every
majority after it. Voters are added up to the number that the tolerated losses need. No change
leaves fewer voters that respond, or fewer copies of the committed state, than before:

- A newcomer has no vote before it has caught up, so it neither blocks commits nor elections.
- A voter that lost its disk never responds again, so without it, as many voters must respond as
  before.
- A voter that does not respond is demoted only once another member has caught up and has become a
  voter. If a disk is lost between the two changes, the silent voter may still return with its own.
- A voter that responds hands its vote over to a successor, a member of its availability zone that
  was admitted later and has caught up. The successor becomes a voter first. With one voter more
  than needed, as many losses are tolerated as before, so the voter is demoted after it. A machine
  that is replaced by another one has thus lost its vote before it is removed.
"""

from typing import Final

from msgspec.structs import replace

from bergamotcart.consensus._join_protocol import JoinProtocol
from bergamotcart.consensus._leadership import Leadership
from bergamotcart.consensus._member_state import MemberState
from bergamotcart.consensus._membership import (
    Members,
    find_member,
    find_predecessor,
    member_id,
    voter_ids,
)
from bergamotcart.messages import LogMember

# Seconds without a response after which a voter may be replaced. A voter that restarts, hangs or is
# isolated for a shorter time returns with its disk, which is better than making a new copy. The
# limit is the greatest election timeout for a voter whose successor has caught up.
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
        for find_change in (
            self._admit_newcomer,
            self._promote_non_voter,
            self._demote_silent_voter,
            self._correct_member,
            self._hand_vote_over,
            self._remove_silent_non_voter,
        ):
            change = find_change(leadership)
            if change is not None:
                return change
        return None

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

    def _correct_member(self, leadership: Leadership) -> Members | None:
        return self._join_protocol.find_correction()

    def _promote_non_voter(self, leadership: Leadership) -> Members | None:
        """Add a missing voter, or one voter too many that takes the place of a silent one."""
        missing = self._target_voter_count - len(voter_ids(self._state.members))
        spares = self._find_caught_up_non_voters(leadership)
        if missing < 0 or not spares:
            return None
        if missing > 0:
            return self._set_voter(spares[0], voter=True)
        for spare in spares:
            predecessor = find_predecessor(self._state.members, spare)
            if predecessor is not None and self._is_silent(leadership, predecessor, predecessor):
                return self._set_voter(spare, voter=True)
        is_replaceable = self._find_silent_voter(leadership, None) is not None
        return self._set_voter(spares[0], voter=True) if is_replaceable else None

    def _demote_silent_voter(self, leadership: Leadership) -> Members | None:
        """Demote a voter that does not respond, if there is one voter more than needed."""
        if len(voter_ids(self._state.members)) <= self._target_voter_count:
            return None
        pair = self._find_surplus_pair()
        silent = self._find_silent_voter(leadership, pair[0] if pair else None)
        return self._set_voter(silent, voter=False) if silent else None

    def _find_silent_voter(
        self, leadership: Leadership, predecessor: LogMember | None
    ) -> LogMember | None:
        """Return a voter that has not responded for so long that it may be replaced."""
        for member in self._state.members:
            if member.voter and self._is_silent(leadership, member, predecessor):
                return member
        return None

    def _is_silent(
        self, leadership: Leadership, voter: LogMember, predecessor: LogMember | None
    ) -> bool:
        limit_s = DEMOTE_VOTER_AFTER_S
        if voter == predecessor:
            limit_s = self._state.configuration.election_timeout_s[1]
        return leadership.seconds_since_response(voter) >= limit_s

    def _hand_vote_over(self, leadership: Leadership) -> Members | None:
        """Let a successor become a voter, then demote its predecessor, while all voters respond."""
        members = self._state.members
        if not all(leadership.has_recent_response(member) for member in members if member.voter):
            return None
        pair = self._find_surplus_pair()
        if pair is not None:
            predecessor, successor = pair
            has_caught_up = leadership.is_caught_up(successor)
            return self._set_voter(predecessor, voter=False) if has_caught_up else None
        if len(voter_ids(members)) != self._target_voter_count:
            return None
        for spare in self._find_caught_up_non_voters(leadership):
            if find_predecessor(members, spare):
                return self._set_voter(spare, voter=True)
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

    def _find_surplus_pair(self) -> tuple[LogMember, LogMember] | None:
        """Return a voter and its successor if a handover has made one voter more than needed."""
        members = self._state.members
        if len(voter_ids(members)) != self._target_voter_count + 1:
            return None
        for member in members:
            predecessor = find_predecessor(members, member) if member.voter else None
            if predecessor is not None:
                return predecessor, member
        return None

    def _find_caught_up_non_voters(self, leadership: Leadership) -> Members:
        return tuple(
            member
            for member in self._state.members
            if not member.voter and leadership.is_caught_up(member)
        )

    def _set_voter(self, changed: LogMember, *, voter: bool) -> Members:
        return tuple(
            replace(member, voter=voter) if member_id(member) == member_id(changed) else member
            for member in self._state.members
        )
