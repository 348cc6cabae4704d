"""Asynchronous replication: a replica pulls the log of its primary."""

import asyncio
import logging
import time
from typing import Final

import aiohttp
import msgspec

from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._records import LogPage, LogRecord

LONG_POLL_S: Final = 1.0
_REQUEST_TIMEOUT_S: Final = 3.0
_RETRY_INTERVAL_S: Final = 0.02
_YIELD_AFTER_RECORDS: Final = 100

_logger = logging.getLogger(__name__)


class Replication:
    """Pulls records while the instance follows a primary."""

    __slots__ = ('_http', '_instance', '_task')

    def __init__(self, instance: Instance, http: aiohttp.ClientSession) -> None:
        """Create a replication that does not follow a primary yet."""
        self._instance = instance
        self._http = http
        self._task: asyncio.Task[None] | None = None

    async def start(self, admin_address: str) -> None:
        """Follow the primary at an administration address; stop following any former one."""
        await self.stop()
        self._task = asyncio.create_task(self._run(admin_address))

    async def stop(self) -> None:
        """Stop pulling records; none is applied after the return."""
        task = self._task
        self._task = None
        if task:
            task.cancel()
            await asyncio.wait((task,))

    async def _run(self, admin_address: str) -> None:
        translation = self._instance.settings.address_translation
        address = translation.get(admin_address, admin_address)
        while True:
            try:
                page = await self._pull(f'http://{address}/log')
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                _logger.debug(
                    'pulling the log from primary %s failed, will retry: %s', address, error
                )
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            await self._apply_page(page)

    async def _pull(self, url: str) -> LogPage:
        instance = self._instance
        query = {
            'term': str(instance.term),
            'log_term': str(instance.log_term),
            'position': str(instance.position),
        }
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with self._http.get(url, params=query, timeout=timeout) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read(), type=LogPage)

    async def _apply_page(self, page: LogPage) -> None:
        if page.diverged:
            discarded = self._instance.discard_diverged_records(page.terms)
            _logger.info('log diverged from that of the primary; discarded %d records', discarded)
        for count, record in enumerate(page.records):
            await self._wait_for_lag(record)
            self._instance.apply(record)
            if count % _YIELD_AFTER_RECORDS == 0:
                await asyncio.sleep(0)

    async def _wait_for_lag(self, record: LogRecord) -> None:
        """Wait until the record is as old as the configured lag.

        Ages are comparable because all instances read the monotonic clock of one machine.
        """
        instance = self._instance
        remaining_s = record.time + instance.tuning.lag - time.monotonic()
        while remaining_s > 0:
            await instance.state_changed.wait(remaining_s)
            remaining_s = record.time + instance.tuning.lag - time.monotonic()
