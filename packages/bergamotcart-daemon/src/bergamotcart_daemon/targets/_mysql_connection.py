"""MySQL connection to a target."""

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
from bergamotcart_daemon.connections import TargetConnection
from bergamotcart_daemon.targets._mysql_errors import MysqlError, build_connect_error

_USER: Final = 'bergamotcart'
_CHARSET: Final = 'utf8mb4'
_ERROR_CODE_END: Final = 3
_SQLSTATE_END: Final = 9
_READ_CHUNK_BYTES: Final = 65536
_PACKET_HEADER_BYTES: Final = 4
_SEQUENCE_MODULUS: Final = 256
_ERROR_PACKET_MARKER: Final = 0xFF
_GENERAL_SQLSTATE: Final = 'HY000'

# The same statements run again and again, so their column definitions are parsed only once.
_parse_field = functools.lru_cache(maxsize=1024)(FieldDescriptorPacket)


class _ResponsePacket(MysqlPacket):
    """Packet that raises the ``MysqlError`` of this package if it is an error packet."""

    def raise_for_error(self) -> None:
        payload = self.get_all_data()
        code = int.from_bytes(payload[1:_ERROR_CODE_END], 'little')
        if payload[_ERROR_CODE_END : _ERROR_CODE_END + 1] == b'#':
            sqlstate = payload[_ERROR_CODE_END + 1 : _SQLSTATE_END].decode('ascii', 'replace')
            text = payload[_SQLSTATE_END:]
        else:
            sqlstate = _GENERAL_SQLSTATE
            text = payload[_ERROR_CODE_END:]
        raise MysqlError(code, sqlstate, text.decode('utf-8', 'replace'))


class _CallWithCallback:
    """Calls a function and then a callback without arguments."""

    __slots__ = ('_function', '_callback')

    def __init__(self, function: Callable[..., None], callback: Callable[[], None]) -> None:
        self._function = function
        self._callback = callback

    def __call__(self, *arguments: Any) -> None:
        self._function(*arguments)
        self._callback()


class MysqlConnection(aiomysql.Connection, TargetConnection):
    """MySQL connection that allows only one statement in each query text."""

    def __init__(self, address: Address, group: str) -> None:
        """Create a connection that is not open yet.

        :param group: name of the schema to select.
        """
        super().__init__(
            host=address.host,
            port=address.port,
            user=_USER,
            db=group,
            charset=_CHARSET,
            autocommit=None,
        )
        # Only the first statement of a text is classified, so a second one would run unchecked.
        self.client_flag &= ~CLIENT.MULTI_STATEMENTS
        self.on_connection_lost: Callable[[Self], None] | None = None
        self._broken = False
        self._receive_buffer = bytearray()
        self._buffer_offset = 0

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

        :param timeout_s: seconds for connecting and logging in together.
        :raises ConnectError: if either fails.
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
            raise build_connect_error(error) from error
        connection._watch_for_disconnect()
        return connection

    async def run_statement(self, sql: str) -> RequestResult:
        """Run a statement and read its complete result.

        :raises MysqlError: if the target reports an error.
        """
        await self.send_statement(sql)
        return await self.receive_result()

    async def send_statement(self, sql: str) -> None:
        """Send a statement without waiting for its result.

        Results arrive in the order of the statements, and each must be read by ``receive_result``.
        """
        await self._execute_command(COMMAND.COM_QUERY, sql)

    async def receive_result(self) -> RequestResult:
        """Read the complete result of the oldest statement whose result has not been read.

        :raises MysqlError: if the target reports an error.
        """
        # The response to each command numbers its packets from 1.
        self._next_seq_id = 1
        await self._read_query_result()
        result = self._result
        while result.has_next:
            await self.next_result()
            if not result.field_count:
                result = self._result
        if result.field_count:
            names = tuple(column[0] for column in result.description)
            return RequestResult(columns=names, rows=result.rows)
        return RequestResult(
            affected_rows=result.affected_rows,
            last_insert_id=result.insert_id,
        )

    async def _read_packet(self, packet_type: type[MysqlPacket] = _ResponsePacket) -> MysqlPacket:
        payload = self._pop_buffered_payload()
        if not payload:
            return await super()._read_packet(packet_type)
        if packet_type is FieldDescriptorPacket:
            return _parse_field(payload, self._encoding)
        return packet_type(payload, self._encoding)

    async def _read_bytes(self, num_bytes: int) -> bytes:
        # The packets of one result usually arrive together. Reading them from this buffer
        # avoids two waits on the stream for each packet.
        while len(self._receive_buffer) < self._buffer_offset + num_bytes:
            chunk = await self._read_chunk()
            if self._buffer_offset:
                self._receive_buffer = self._receive_buffer[self._buffer_offset :]
                self._buffer_offset = 0
            self._receive_buffer += chunk
        start = self._buffer_offset
        self._buffer_offset = start + num_bytes
        return bytes(self._receive_buffer[start : self._buffer_offset])

    def _pop_buffered_payload(self) -> bytes:
        """Return the payload of the next packet, or empty bytes if ``aiomysql`` must read it.

        ``aiomysql`` reads error packets, and packets that are incomplete, empty, of maximum
        length or out of sequence.
        """
        buffer = self._receive_buffer
        start = self._buffer_offset + _PACKET_HEADER_BYTES
        length = int.from_bytes(buffer[self._buffer_offset : start - 1], 'little')
        end = start + length
        if end > len(buffer) or length in {0, MAX_PACKET_LEN}:
            return b''
        if buffer[start - 1] != self._next_seq_id or buffer[start] == _ERROR_PACKET_MARKER:
            return b''
        self._next_seq_id = (self._next_seq_id + 1) % _SEQUENCE_MODULUS
        self._buffer_offset = end
        return bytes(buffer[start:end])

    async def _read_chunk(self) -> bytes:
        try:
            chunk = await self._reader.read(_READ_CHUNK_BYTES)
        except OSError as error:
            self.close()
            raise pymysql.OperationalError(CR.CR_SERVER_LOST, str(error)) from error
        if not chunk:
            self.close()
            raise pymysql.OperationalError(
                CR.CR_SERVER_LOST, f'target {self.host}:{self.port} closed the connection'
            )
        return chunk

    def _watch_for_disconnect(self) -> None:
        # A statement that is written to a broken connection counts as sent, although it never
        # arrives. A connection that breaks while idle must therefore be detected at once.
        reader = self._reader
        reader.feed_eof = _CallWithCallback(reader.feed_eof, self._mark_broken)
        reader.set_exception = _CallWithCallback(reader.set_exception, self._mark_broken)

    def _mark_broken(self) -> None:
        self._broken = True
        if self.on_connection_lost is not None:
            self.on_connection_lost(self)
