"""One connection to a target."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, Final, Self

import aiomysql
import pymysql
from pymysql.connections import MAX_PACKET_LEN
from pymysql.constants import CLIENT, COMMAND, CR
from pymysql.protocol import FieldDescriptorPacket, MysqlPacket

from bergamotcart.outcomes import RequestResult
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.targets._driver import TargetLink
from bergamotcart_daemon.targets._errors import MysqlError, describe_connect_error

_USER: Final = 'bergamotcart'
_CHARSET: Final = 'utf8mb4'
_ERROR_HEAD_BYTES: Final = 3
_SQLSTATE_END: Final = 9
_READ_BYTES: Final = 65536
_HEADER_BYTES: Final = 4
_SEQUENCE_NUMBERS: Final = 256
_ERROR_MARK: Final = 0xFF
_UNKNOWN_SQLSTATE: Final = 'HY000'

# Statements repeat, and with them the descriptions of their columns.
_parse_field = functools.lru_cache(maxsize=1024)(FieldDescriptorPacket)


class _Packet(MysqlPacket):
    def raise_for_error(self) -> None:
        payload = self.get_all_data()
        code = int.from_bytes(payload[1:_ERROR_HEAD_BYTES], 'little')
        if payload[_ERROR_HEAD_BYTES : _ERROR_HEAD_BYTES + 1] == b'#':
            sqlstate = payload[_ERROR_HEAD_BYTES + 1 : _SQLSTATE_END].decode('ascii', 'replace')
            text = payload[_SQLSTATE_END:]
        else:
            sqlstate = _UNKNOWN_SQLSTATE
            text = payload[_ERROR_HEAD_BYTES:]
        raise MysqlError(code, sqlstate, text.decode('utf-8', 'replace'))


class _Tap:
    """Calls a function after another one."""

    __slots__ = ('_first', '_then')

    def __init__(self, first: Callable[..., None], then: Callable[[], None]) -> None:
        self._first = first
        self._then = then

    def __call__(self, *arguments: Any) -> None:
        self._first(*arguments)
        self._then()


class TargetConnection(aiomysql.Connection, TargetLink):
    """Runs one statement at a time; several statements in one text are not allowed."""

    def __init__(self, address: Address, group: str) -> None:
        """Prepare a connection that is not open yet.

        :param group: selected as the schema.
        """
        super().__init__(
            host=address.host,
            port=address.port,
            user=_USER,
            db=group,
            charset=_CHARSET,
            autocommit=None,
        )
        # A second statement hidden in a text would escape the classification of the first.
        self.client_flag &= ~CLIENT.MULTI_STATEMENTS
        self.on_broken: Callable[[Self], None] | None = None
        self._broken = False
        self._received = bytearray()
        self._offset = 0

    @property
    def usable(self) -> bool:
        """False once either side has closed the connection."""
        return not self._broken and not self.closed

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return super().closed

    @classmethod
    async def open(cls, address: Address, group: str, timeout_s: float) -> Self:
        """Connect and log in.

        :param timeout_s: seconds for both.
        :raises ConnectError: if that fails.
        """
        connection = cls(address, group)
        try:
            async with asyncio.timeout(timeout_s):
                await connection._connect()
        except asyncio.CancelledError:
            connection.close()
            raise
        except Exception as error:
            connection.close()
            raise describe_connect_error(error) from error
        connection._watch()
        return connection

    async def run(self, sql: str) -> RequestResult:
        """Run a statement and read its complete answer.

        :raises MysqlError: if the target reports an error.
        """
        await self.send(sql)
        return await self.receive()

    async def send(self, sql: str) -> None:
        """Send a statement without waiting for its answer.

        Answers come in the order of the statements, and each must be received.
        """
        await self._execute_command(COMMAND.COM_QUERY, sql)

    async def receive(self) -> RequestResult:
        """Read the complete answer to the oldest unanswered statement.

        :raises MysqlError: if the target reports an error.
        """
        # The packets of each answer are numbered from 1.
        self._next_seq_id = 1
        await self._read_query_result()
        answer = self._result
        while answer.has_next:
            await self.next_result()
            if not answer.field_count:
                answer = self._result
        if answer.field_count:
            names = tuple(column[0] for column in answer.description)
            return RequestResult(columns=names, rows=answer.rows)
        return RequestResult(
            affected_rows=answer.affected_rows,
            last_insert_id=answer.insert_id,
        )

    async def _read_packet(self, packet_type: type[MysqlPacket] = _Packet) -> MysqlPacket:
        payload = self._take_payload()
        if not payload:
            return await super()._read_packet(packet_type)
        if packet_type is FieldDescriptorPacket:
            return _parse_field(payload, self._encoding)
        return packet_type(payload, self._encoding)

    async def _read_bytes(self, num_bytes: int) -> bytes:
        # One answer consists of many packets that usually arrive together. Reading them from
        # a buffer of our own avoids two waits on the stream for each packet.
        while len(self._received) < self._offset + num_bytes:
            chunk = await self._receive()
            if self._offset:
                self._received = self._received[self._offset :]
                self._offset = 0
            self._received += chunk
        start = self._offset
        self._offset = start + num_bytes
        return bytes(self._received[start : self._offset])

    def _take_payload(self) -> bytes:
        """Return the next packet if all of it was received and it is an ordinary one."""
        received = self._received
        start = self._offset + _HEADER_BYTES
        length = int.from_bytes(received[self._offset : start - 1], 'little')
        end = start + length
        if end > len(received) or length in {0, MAX_PACKET_LEN}:
            return b''
        if received[start - 1] != self._next_seq_id or received[start] == _ERROR_MARK:
            return b''
        self._next_seq_id = (self._next_seq_id + 1) % _SEQUENCE_NUMBERS
        self._offset = end
        return bytes(received[start:end])

    async def _receive(self) -> bytes:
        try:
            chunk = await self._reader.read(_READ_BYTES)
        except OSError as error:
            self.close()
            raise pymysql.OperationalError(CR.CR_SERVER_LOST, str(error)) from error
        if not chunk:
            self.close()
            raise pymysql.OperationalError(CR.CR_SERVER_LOST, 'connection closed by the target')
        return chunk

    def _watch(self) -> None:
        # A connection that breaks while it is idle must not be used for the next statement,
        # since the statement would then count as sent.
        reader = self._reader
        reader.feed_eof = _Tap(reader.feed_eof, self._note_broken)
        reader.set_exception = _Tap(reader.set_exception, self._note_broken)

    def _note_broken(self) -> None:
        self._broken = True
        if self.on_broken is not None:
            self.on_broken(self)
