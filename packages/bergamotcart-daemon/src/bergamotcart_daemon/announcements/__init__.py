"""HTTP endpoint at which targets announce themselves to an entry."""

from bergamotcart_daemon.announcements._api import AnnouncementApi

__all__ = ('AnnouncementApi',)
