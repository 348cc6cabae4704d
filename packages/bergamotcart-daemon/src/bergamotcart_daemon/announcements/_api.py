"""HTTP endpoint for the announcements of targets."""

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
    """Announcement whose decoding rejects unknown fields and too long texts."""

    group: messages.NonEmptyName
    instance: messages.NonEmptyName
    availability_zone: messages.NonEmptyName
    address: messages.Name
    admin_address: messages.Name
    incarnation: messages.Name
    following: messages.Name | None = None


class AnnouncementApi:
    """Accepts announcements and responds with the time of this entry.

    :param read_clock: returns the engine's clock, in seconds.
    :param submit: takes the valid announcements as inputs of the engine.
    """

    def __init__(
        self,
        metrics: Metrics,
        read_clock: Callable[[], float],
        submit: Callable[[AnnouncementReceived], None],
    ) -> None:
        """Store the parameters."""
        self._metrics = metrics
        self._read_clock = read_clock
        self._submit = submit
        self._decoder = msgspec.json.Decoder(_StrictAnnouncement)

    def build_routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes of the HTTP server."""
        return (web.post('/announcements', self._handle_announcement),)

    async def _handle_announcement(self, request: web.Request) -> web.Response:
        try:
            announcement = _parse_announcement(self._decoder, await request.read())
        except ValueError as error:
            self._metrics.count_event('announcement_malformed')
            return respond_json(_BAD_REQUEST, {'error': str(error)})
        self._submit(AnnouncementReceived(announcement))
        return respond_json(200, {'echo': self._read_clock()})


def _parse_announcement(
    decoder: msgspec.json.Decoder[_StrictAnnouncement],
    body: bytes,
) -> messages.Announcement:
    announcement = messages.decode_external(decoder, body)
    Address.parse(announcement.address)
    Address.parse(announcement.admin_address)
    if min(announcement.slots, announcement.connection_limit) < 1:
        raise ValueError(
            f'slots and connection_limit must be at least 1, not {announcement.slots} and '
            f'{announcement.connection_limit}'
        )
    if min(announcement.term, announcement.log_term, announcement.position) < 0:
        raise ValueError(
            f'term, log_term and position must not be negative: {announcement.term}, '
            f'{announcement.log_term}, {announcement.position}'
        )
    return announcement
