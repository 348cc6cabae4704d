"""Endpoint for the announcements of targets."""

from collections.abc import Callable
from typing import Final

import msgspec
from aiohttp import web

from bergamotcart import messages
from bergamotcart.entry import AnnouncementReceived
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.http import respond_json
from bergamotcart_daemon.metrics import Metrics

_BAD_REQUEST: Final = 400


class _StrictAnnouncement(messages.Announcement, frozen=True, forbid_unknown_fields=True):
    """An announcement without unknown fields."""


class AnnouncementApi:
    """Takes announcements and answers with the clock of this entry.

    :param read_clock: returns the engine's clock, in seconds.
    :param submit: takes valid announcements.
    """

    def __init__(
        self,
        metrics: Metrics,
        read_clock: Callable[[], float],
        submit: Callable[[AnnouncementReceived], None],
    ) -> None:
        """Keep the parameters."""
        self._metrics = metrics
        self._read_clock = read_clock
        self._submit = submit
        self._decoder = msgspec.json.Decoder(_StrictAnnouncement)

    def build_routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes."""
        return (web.post('/announcements', self._handle_announcement),)

    async def _handle_announcement(self, request: web.Request) -> web.Response:
        try:
            announcement = _parse(self._decoder, await request.read())
        except ValueError as error:
            self._metrics.count_event('announcement_malformed')
            return respond_json(_BAD_REQUEST, {'error': str(error)})
        self._submit(AnnouncementReceived(announcement))
        return respond_json(200, {'echo': self._read_clock()})


def _parse(
    decoder: msgspec.json.Decoder[_StrictAnnouncement],
    body: bytes,
) -> messages.Announcement:
    announcement = decoder.decode(body)
    for text in (announcement.group, announcement.instance, announcement.availability_zone):
        if not text:
            raise ValueError('group, instance and availability zone must not be empty')
    Address.parse(announcement.address)
    Address.parse(announcement.admin_address)
    if min(announcement.slots, announcement.connection_limit) < 1:
        raise ValueError('slots and connection_limit must be at least 1')
    if min(announcement.term, announcement.log_term, announcement.position) < 0:
        raise ValueError('term, log_term and position must not be negative')
    return announcement
