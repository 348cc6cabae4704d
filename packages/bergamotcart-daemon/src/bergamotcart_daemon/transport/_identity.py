"""Identity of a process in its messages to peers."""

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Send


class Identity(msgspec.Struct, frozen=True):
    """Sender fields of every envelope of this process.

    :param address: inter-process address that peers use.
    """

    domain: str
    name: str
    incarnation: str
    address: str

    def build_envelope(
        self, send: Send, number: int = 0, acknowledged: int = 0
    ) -> messages.Envelope:
        """Build the envelope of a message from this process.

        :param number: number of the message.
        :param acknowledged: number of the newest message received from the recipient.
        """
        return messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain=self.domain,
            sender=self.name,
            incarnation=self.incarnation,
            sender_address=self.address,
            recipient=send.recipient,
            body=send.body,
            number=number,
            acknowledged=acknowledged,
        )
