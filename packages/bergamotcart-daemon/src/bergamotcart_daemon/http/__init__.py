"""HTTP server for processes of both roles."""

from bergamotcart_daemon.http._limited_site import MAX_BODY_BYTES, LimitedServer
from bergamotcart_daemon.http._server import HttpServer, respond_json

__all__ = ('MAX_BODY_BYTES', 'HttpServer', 'LimitedServer', 'respond_json')
