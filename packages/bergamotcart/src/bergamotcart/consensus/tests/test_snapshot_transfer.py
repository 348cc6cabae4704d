"""Tests that a member catches up by a snapshot while records are added."""

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.consensus.tests._cluster import Cluster, Server

_ROUND_TRIP_S = 0.024
_CHANGE_INTERVAL_S = 0.08
_CHUNK_BYTES = 100
# Time after which a member that is back counts as running again.
_CATCH_UP_S = 4.0


class _TransferCluster(Cluster):
    """Records the chunks that are sent, and loses some of them."""

    def __init__(self, **settings: object) -> None:
        super().__init__(part_bytes=_CHUNK_BYTES, trailing_records=0, **settings)
        self.chunks: list[messages.SnapshotRequest] = []
        self.lost_offsets: set[int] = set()
        self.start_all()
        self.elect_leader()

    @property
    def sent_bytes(self) -> int:
        """Bytes of all chunks that were sent."""
        return sum(len(chunk.state) for chunk in self.chunks)

    def send(self, sender: Server, send: Send) -> None:
        """Record a chunk, and lose it if its offset is to be lost once."""
        if isinstance(send.body, messages.SnapshotRequest):
            self.chunks.append(send.body)
            if send.body.state and send.body.offset in self.lost_offsets:
                self.lost_offsets.remove(send.body.offset)
                return
        super().send(sender, send)

    def start_lagging_member(self, state_bytes: int) -> Server:
        """Grow the state while a member is stopped, take a snapshot, and start the member."""
        leader = self.find_leader()
        lagging = next(server for server in self.servers.values() if server is not leader)
        lagging.stop()
        for _ in range(state_bytes // _CHUNK_BYTES):
            self.propose(b'x' * _CHUNK_BYTES)
        self.run(1)
        leader.snapshot()
        lagging.start()
        return lagging

    def run_until_caught_up(self, lagging: Server) -> float:
        """Change and compact the state until a member has it, and return the seconds taken."""
        started_at = self.now
        while lagging.applied < self.find_leader().applied - 1:
            assert self.now < started_at + _CATCH_UP_S, f'applied {lagging.applied} records'
            self.propose(b'change')
            self.run(_CHANGE_INTERVAL_S, step=_ROUND_TRIP_S / 2)
            self.find_leader().snapshot()
        return self.now - started_at


def test_newer_snapshots_do_not_restart_transfer():
    """Under a steady stream of changes, a transfer that starts again never ends."""
    cluster = _TransferCluster()
    lagging = cluster.start_lagging_member(40_000)
    cluster.run_until_caught_up(lagging)
    assert len({chunk.last_index for chunk in cluster.chunks}) == 1


def test_lost_chunk_is_repeated_at_once():
    """The transfer must not wait for a heartbeat, nor send the same bytes again and again."""
    cluster = _TransferCluster(leader_heartbeat_interval_s=0.3)
    state_bytes = 4000
    cluster.lost_offsets = {1000}
    lagging = cluster.start_lagging_member(state_bytes)
    assert cluster.run_until_caught_up(lagging) < _CATCH_UP_S / 8
    assert not cluster.lost_offsets
    assert state_bytes <= cluster.sent_bytes < 2 * state_bytes + 2 * _CHUNK_BYTES


def test_restarted_member_gets_transfer_from_the_beginning():
    """A member that stops during a transfer has lost the chunks that it received."""
    cluster = _TransferCluster(window_bytes=400)
    lagging = cluster.start_lagging_member(20_000)
    cluster.run(0.5)
    assert any(chunk.offset > 2000 for chunk in cluster.chunks)
    lagging.stop()
    lagging.start()
    cluster.run_until_caught_up(lagging)


def test_heartbeats_to_unreachable_member_repeat_no_chunk():
    """Chunks that pile up in front of a member delay its vote and its catching up."""
    cluster = _TransferCluster(window_bytes=400)
    lagging = cluster.start_lagging_member(20_000)
    cluster.run(0.3)
    cluster.cut.add(lagging.name)
    cluster.run(0.1)
    before = cluster.sent_bytes
    cluster.run(2)
    assert cluster.sent_bytes == before
