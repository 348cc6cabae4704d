"""The replicated log of the control members, without I/O.

It implements the Raft protocol with pre-votes, check-quorum, snapshots and membership changes
of one voter at a time. The caller drives a ``ConsensusNode``: it writes the batches that the
node emits, and acknowledges them. A message that relies on durable state is released only after the
batch with that state is acknowledged.

Identity
--------
A member is identified by its name and the random incarnation of its data folder. Votes, appends
and memberships contain both. A response repeats the incarnation or the term of its request, so a
response to an earlier incarnation of the same name is ignored.

Votes
-----
The membership in force is the newest one in the log, committed or not. A member grants a vote
only if its own incarnation is a voter in its log or in the candidate's log. The latter applies to
a member that has not yet received the record that made it a voter. A member becomes a candidate
only if it is a voter in its own log. It grants no vote, and does not enter a newer term, within
the least election timeout of contact with a leader or of its own start. ``has_quorum`` counts
responses to appends that were sent within a slightly shorter time, so no other leader can have
been elected while it holds. Without that limit, a new leader could finish waiting for the leases
of its predecessor while the predecessor still grants some.

First start
-----------
A member whose log holds no membership is unformed. An unformed initial member asks *all*
initial members for a pre-vote and then for a vote in a new term; the requests name the initial
members. A member grants this only if it is unformed too, has the same initial members in its
settings, and has not voted for another member in that term. The candidate needs every vote, not a
majority. The responses carry the incarnations of the voters; the winner leads that term, and its
first record is the membership with these incarnations.

- Two such winners cannot exist unless the earlier one lost its record: each would need the
  other's vote while unformed. If that happens, the terms and Raft's election rules decide which
  log is kept.
- A member that lost its data folder cannot form a group: any formed initial member refuses.
  Grants to its former incarnation do not count, since they name that incarnation. If a majority
  of the members lose their data folders before the others hold any record, a new group may be
  formed.
- An unformed member whose incarnation is a voter in the log of a formed candidate votes by
  the usual rules; it took part in the formation and missed the first record.

Members that lost their data folder, and newcomers
--------------------------------------------------
A member that has no contact with a leader, or whose log does not list its own incarnation, sends
``JoinRequest`` to all members that it knows; followers forward it to the leader. The leader
answers with a ``JoinResponse`` that contains its clock, and registers a newcomer only once the
newcomer has repeated that clock, so a buffered request of a former incarnation has no effect.
The caller of the leader calls ``find_readmission`` and proposes the result. First the newcomer
replaces the silent voter of its name, as a non-voter, and the vote of the former incarnation is
removed. Then it receives the log. Once it has all committed records, a second change makes it a
voter. The two steps must not be merged: the former incarnation may have voted in a newer term,
and a majority that includes the newcomer instead would not overlap the majority of that vote. A
change is refused until the previous change and a record of the leader's own term are committed,
and while a majority of the new voters does not respond.

Limits
------
A membership is in force from the moment it is in a log. A group that loses a majority of its
newest voters within the check-quorum window of a change cannot commit any more, and only its
operator can form a new group. Two or four voters tolerate one loss less than three or five, so
do not wait long between admitting a member and removing the one that it replaces.
"""

from bergamotcart.consensus._configuration import (
    ConsensusConfiguration,
    ConsensusOutputs,
    InitialMember,
    Role,
    RoleChange,
)
from bergamotcart.consensus._contacts import MemberContact
from bergamotcart.consensus._durable_state import (
    DurableState,
    HardState,
    Snapshot,
    WriteBatch,
    merge_batches,
)
from bergamotcart.consensus._node import MAX_COMMAND_BYTES, ConsensusNode

__all__ = (
    'MAX_COMMAND_BYTES',
    'ConsensusConfiguration',
    'ConsensusNode',
    'ConsensusOutputs',
    'DurableState',
    'HardState',
    'InitialMember',
    'MemberContact',
    'Role',
    'RoleChange',
    'Snapshot',
    'WriteBatch',
    'merge_batches',
)
