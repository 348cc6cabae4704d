"""The replicated log of the control members, without I/O.

It follows the Raft protocol with pre-votes, check-quorum, snapshots and changes of one
voter at a time. ``ConsensusNode`` is driven by its caller, which writes the batches that it
emits and confirms them; every answer that relies on durable state leaves after that.

Identity
--------
A member is a name plus the random incarnation of its data folder. Votes, appends and
memberships name both. An answer repeats the incarnation or the term that it answers, so an
answer to an earlier incarnation of the same name is ignored.

Who votes
---------
The membership in force is the newest one in the log. A member gives a vote only if its own
incarnation is a voter in its log or in the candidate's log. The latter matters for a member
that has not yet received the record that made it a voter. It stands for election only if it
is a voter in its own log. It gives no vote, and does not enter a newer term, within the least
election timeout of hearing a leader or of its own start. ``has_quorum`` counts answers to
appends sent within a slightly shorter time, so no other leader can have been elected while it
holds. Without that cap, a new leader could finish waiting for the leases of its predecessor
while the predecessor still grants some.

First start
-----------
A member whose log holds no membership is unformed. An unformed initial member asks *all*
initial members for a pre-vote and then for a vote in a new term, naming the initial members.
A member grants this only if it is unformed too, has the same initial members in its settings,
and has not voted for another in that term. The candidate needs every vote, not a majority. The
answers carry the voters' incarnations; the winner leads that term, and its first record is
the membership with these incarnations.

- Two such winners cannot exist unless the earlier one lost its record: each would need the
  other's vote while unformed. The terms and Raft's rules then resolve the logs as usual.
- An emptied member cannot form a group: any formed initial member refuses. Grants that its
  former incarnation received do not count, since they name that incarnation. If a majority of
  the members is emptied before the others hold any record, a new group may be formed.
- An unformed member whose incarnation is a voter in the log of a formed candidate votes by
  the usual rules; it took part in the formation and missed the first record.

Return of an emptied member, and newcomers
------------------------------------------
A member that hears no leader, or whose log does not list its own incarnation, sends
``JoinRequest`` to all members that it knows; followers pass it on. The leader answers ``JoinResponse`` with its clock, and a newcomer counts only
once it has repeated that, so a buffered request of a former incarnation has no effect. The
caller of the leader asks ``find_readmission`` and proposes the result: first the newcomer
takes the place of the silent voter of its name, as a non-voter, and the vote of the former
incarnation is gone; then it receives the log; once it has all committed records, a second
change makes it a voter. The two steps may not be merged: the former incarnation may have
voted in a newer term, and a majority that relies on the newcomer instead would not meet that
one. A change is refused until the one before it, and a record of the leader's own term, are
committed, or while a majority of the new voters does not answer.

Limits
------
A membership is in force from the moment it is in a log. A group that loses a majority of its
newest voters within the check-quorum window of a change cannot commit any more, and only its
operator can start a new one. Two or four voters tolerate one loss less than three or five, so
admit and remove one after the other without long pauses.
"""

from bergamotcart.consensus._config import (
    ConsensusConfig,
    ConsensusOutputs,
    InitialMember,
    Role,
    RoleChange,
)
from bergamotcart.consensus._durable import DurableState, HardState, Persist, Snapshot
from bergamotcart.consensus._node import MAX_COMMAND_BYTES, ConsensusNode

__all__ = (
    'MAX_COMMAND_BYTES',
    'ConsensusConfig',
    'ConsensusNode',
    'ConsensusOutputs',
    'DurableState',
    'HardState',
    'InitialMember',
    'Persist',
    'Role',
    'RoleChange',
    'Snapshot',
)
