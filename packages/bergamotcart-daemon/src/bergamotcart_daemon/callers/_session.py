"""Sessions and authentication of callers, as the MySQL library requires them."""

import abc
from collections.abc import Callable

from mysql_mimic.auth import AuthInfo, AuthPlugin, AuthState, IdentityProvider, Success, User
from mysql_mimic.session import BaseSession
from mysql_mimic.utils import nonce
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bergamotcart.outcomes import Outcome

_NONCE_BYTES = 20
_GLOBAL_VARIABLES = GlobalVariables()


class StatementHandler(abc.ABC):
    """Receives the sessions and statements of callers."""

    @abc.abstractmethod
    def open_session(self, caller: str, group: str | None) -> int:
        """Start a session and return its identifier."""

    @abc.abstractmethod
    def close_session(self, session_id: int) -> None:
        """End a session; its running statement gets no response."""

    @abc.abstractmethod
    async def execute(self, session_id: int, sql: str) -> Outcome | None:
        """Return the outcome of a statement, or ``None`` if the session ended before it."""


class CallerSession(BaseSession):
    """Associates a connection with a session of the engine."""

    def __init__(
        self, handler: StatementHandler, identify: Callable[[str], bool] | None = None
    ) -> None:
        """Create the object; the session of the engine starts after the handshake.

        :param identify: counts the connection to a caller, or refuses it.
        """
        self._identify = identify
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username: str | None = None
        self.database: str | None = None
        self.handler = handler
        self._session_id: int | None = None

    @property
    def session_id(self) -> int | None:
        """Identifier of the engine's session, or ``None`` while there is none."""
        return self._session_id

    async def init(self, connection: object) -> None:
        """Start the session of the engine after the handshake.

        :raises ConnectionAbortedError: if there are too many connections.
        """
        if self._identify is not None and not self._identify(self.username or ''):
            raise ConnectionAbortedError('too many connections')
        self.start_engine_session()

    async def close(self) -> None:
        """End the session of the engine when the connection ends."""
        self.end_engine_session()

    def start_engine_session(self) -> None:
        """Start a session of the engine."""
        self._session_id = self.handler.open_session(self.username or '', self.database or None)

    def end_engine_session(self) -> None:
        """End the session of the engine; further calls have no effect."""
        session_id = self._session_id
        self._session_id = None
        if session_id is not None:
            self.handler.close_session(session_id)


class UncheckedPasswordPlugin(AuthPlugin):
    """Accepts any password; the user name identifies the caller."""

    name = 'mysql_native_password'

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        """Send a nonce at the start of the handshake, and accept any response."""
        if auth_info is None:
            auth_info = yield b''.join((nonce(_NONCE_BYTES), b'\x00'))
        yield Success(auth_info.username)


class UncheckedIdentityProvider(IdentityProvider):
    """Accepts any user name as a caller."""

    def get_plugins(self) -> list[AuthPlugin]:
        """Return only the plugin without a password check."""
        return [UncheckedPasswordPlugin()]

    async def get_user(self, username: str) -> User:
        """Return a user of any name."""
        return User(name=username, auth_plugin=UncheckedPasswordPlugin.name)
