"""Tests that the size of the stored log is bounded."""

import base64
import random
from http import HTTPStatus

from bergamotcart import control
from bergamotcart.control._runtime import SNAPSHOT_LOG_BYTES
from bergamotcart.control.tests._authority_world import GROUP, AuthorityWorld, make_body


def test_changes_of_large_document_do_not_fill_disk():
    """Records of whole documents must be compacted by their size, not only by their number."""
    world = AuthorityWorld()
    body = make_body(**{f'database-{number}': GROUP for number in range(1000)})
    # Not compressible to less than three quarters.
    source = base64.b64encode(random.Random(1).randbytes(180_000)).decode()
    for version in range(2, 62):
        reply = world.replace_document(version, body, source=source)
        assert reply.status == HTTPStatus.OK
        assert world.stored_bytes <= 2 * SNAPSHOT_LOG_BYTES


def test_full_disk_is_compacted_at_once():
    """The records since the last snapshot may be what fills the disk."""
    world = AuthorityWorld()
    assert world.stored_records
    world.submit(control.StorageFull())
    assert not world.stored_records
