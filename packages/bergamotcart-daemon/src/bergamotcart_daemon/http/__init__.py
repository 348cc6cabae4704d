"""HTTP server for processes of both roles."""

from bergamotcart_daemon.http._server import Health, HttpServer, respond_json

__all__ = ('Health', 'HttpServer', 'respond_json')
