"""HTTP servers of both roles."""

from bergamotcart_daemon.http._control import OperatorApi
from bergamotcart_daemon.http._entry import AnnouncementApi
from bergamotcart_daemon.http._gateway import OperatorGateway
from bergamotcart_daemon.http._server import Health, HttpServer, respond_json

__all__ = ('AnnouncementApi', 'Health', 'HttpServer', 'OperatorApi', 'OperatorGateway', 'respond_json')
