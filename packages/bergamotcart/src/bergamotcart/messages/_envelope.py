"""Envelope of each message, with its sender and recipient."""

import msgspec

from bergamotcart.messages import _caps as caps
from bergamotcart.messages import _consensus as consensus
from bergamotcart.messages import _control as control
from bergamotcart.messages import _discovery as discovery

_DiscoveryBody = discovery.RelayPull | discovery.RelayBatch
_CapBody = caps.CapRequest | caps.CapGrant

Body = (
    consensus.PreVoteRequest
    | consensus.PreVoteResponse
    | consensus.VoteRequest
    | consensus.VoteResponse
    | consensus.AppendRequest
    | consensus.AppendResponse
    | consensus.SnapshotRequest
    | consensus.SnapshotResponse
    | consensus.JoinRequest
    | consensus.JoinResponse
    | control.LeaseRequest
    | control.LeaseGrant
    | control.LeaseRefusal
    | control.StateUpdate
    | control.StateAck
    | _DiscoveryBody
    | _CapBody
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A message with its sender and recipient.

    :param domain: control domain; a message of another domain is dropped.
    :param sender: name of the sending process.
    :param incarnation: identity of this start of the sender, or of its data folder.
    :param sender_address: address on which the sender listens, so that a process can answer a
        peer that is not in its settings.
    :param number: sequence number of this message among those to the same recipient, or 0.
    :param acknowledged: newest number that the sender has received from the recipient, or 0.
    """

    version: int
    domain: str
    sender: str
    incarnation: str
    sender_address: str
    recipient: str
    body: Body
    number: int = 0
    acknowledged: int = 0
