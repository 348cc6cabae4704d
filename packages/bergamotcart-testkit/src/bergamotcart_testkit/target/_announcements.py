"""Announcements of a stand-in target to the entries of its availability zone."""

import asyncio
import logging
from typing import Final

import aiohttp
import msgspec

from bergamotcart import messages
from bergamotcart_testkit.target._instance import Instance

_ANNOUNCEMENT_INTERVAL_S: Final = 1.0
_REQUEST_TIMEOUT_S: Final = 1.0
_REQUEST_ERRORS: Final = (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError)

_logger = logging.getLogger(__name__)


class _Answer(msgspec.Struct, frozen=True):
    echo: float | None = None


class Announcer:
    """Announces the instance to one entry, periodically and on each state change."""

    __slots__ = ('_address', '_echo', '_http', '_instance', '_sequence')

    def __init__(self, instance: Instance, http: aiohttp.ClientSession, address: str) -> None:
        """Create an announcer for one entry.

        :param address: HTTP address of the entry.
        """
        self._instance = instance
        self._http = http
        self._address = address
        self._echo: float | None = None
        self._sequence = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            try:
                await self._announce()
            except _REQUEST_ERRORS as error:
                self._echo = None
                _logger.debug(
                    'announcement to entry %s failed, will be repeated: %s', self._address, error
                )
            await self._instance.state_changed.wait(_ANNOUNCEMENT_INTERVAL_S)

    async def _announce(self) -> None:
        self._sequence += 1
        body = msgspec.json.encode(self._announcement())
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        url = f'http://{self._address}/announcements'
        headers = {'Content-Type': 'application/json'}
        async with self._http.post(url, data=body, headers=headers, timeout=timeout) as response:
            response.raise_for_status()
            self._echo = msgspec.json.decode(await response.read(), type=_Answer).echo

    def _announcement(self) -> messages.Announcement:
        instance = self._instance
        settings = instance.settings
        return messages.Announcement(
            group=settings.group,
            instance=settings.instance,
            availability_zone=settings.availability_zone,
            address=str(settings.mysql_listen),
            admin_address=str(settings.admin_listen),
            role=instance.role,
            term=instance.term,
            log_term=instance.log_term,
            position=instance.position,
            slots=instance.tuning.slots,
            connection_limit=instance.tuning.connections,
            incarnation=instance.incarnation,
            sequence=self._sequence,
            leaving=instance.leaving,
            following=instance.following,
            echo=self._echo,
        )


async def announce_to_all(instance: Instance, http: aiohttp.ClientSession) -> None:
    """Announce an instance to all entries of its settings until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        for address in instance.settings.entries:
            tasks.create_task(Announcer(instance, http, address).run())
