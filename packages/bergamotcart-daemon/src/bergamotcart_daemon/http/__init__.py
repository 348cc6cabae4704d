"""HTTP server of both roles, and the endpoint for announcements."""

from bergamotcart_daemon.http._entry import AnnouncementApi
from bergamotcart_daemon.http._server import Health, HttpServer, respond_json

__all__ = ('AnnouncementApi', 'Health', 'HttpServer', 'respond_json')
