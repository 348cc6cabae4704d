"""Test of a control engine whose disk is full before its log reaches any bound."""

import asyncio
import base64
import contextlib
import random
from http import HTTPStatus

from bergamotcart import control
from bergamotcart.actions import Decision, Send
from bergamotcart_daemon.control._batch_writer import BatchWriter
from bergamotcart_daemon.operators import OperatorGateway
from bergamotcart_daemon.runtime import EngineLoop
from bergamotcart_daemon.storage import SqliteStorage

_BODY = '{"routes": [], "groups": {}}'
_SOURCE_BYTES = 150_000
_PAGE_BYTES = 4096


class _SingleMember:
    """A control engine with a real data folder, of which the file may not exceed a size."""

    def __init__(self, folder, max_file_bytes: int) -> None:
        self._storage = SqliteStorage(folder, 'default')
        self._storage._execute(f'PRAGMA max_page_count = {max_file_bytes // _PAGE_BYTES}')
        configuration = control.ControlConfiguration(
            name='a',
            availability_zone='z',
            address='h:1',
            initial_members=(('a', 'h:1', 'z'),),
            admin_token='t',
        )
        self._loop = EngineLoop(control.ControlEngine(configuration, self._storage.load()))
        self.gateway = OperatorGateway(self._loop.submit)
        self.writer = BatchWriter(self._storage.write, self._loop.submit)
        handlers = dict.fromkeys((control.Order, Decision, Send), id)
        self._loop.set_action_handlers(
            handlers
            | {control.WriteBatch: self.writer.write, control.OperatorReply: self.gateway.reply}
        )

    @contextlib.asynccontextmanager
    async def start(self):
        """Run the member."""
        await self.writer.start()
        await self._loop.start()
        try:
            yield self
        finally:
            await self._loop.stop()
            await self.writer.stop()
            self._storage.close()

    async def replace_document(self, version: int, source: str) -> int:
        """Send a document until it gets an answer that is final, and return its status."""
        async with asyncio.timeout(10):
            while True:
                reply = await self.gateway.send_request(
                    control.OperatorCommand.replace_document,
                    't',
                    {'version': version, 'body': _BODY, 'source': source},
                )
                if reply is not None and reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return reply.status
                await asyncio.sleep(0.05)


async def test_changes_are_accepted_after_disk_was_full(tmp_path):
    """All processes of control ended again and again, as the first compaction found no room."""
    chance = random.Random(1)
    async with _SingleMember(tmp_path / 'data', 10 * _SOURCE_BYTES).start() as member:
        for version in range(1, 31):
            source = base64.b64encode(chance.randbytes(_SOURCE_BYTES)).decode()
            assert await member.replace_document(version, source) == HTTPStatus.OK
        assert not member.writer.crashed
