"""Session of one caller as the MySQL library sees it."""

import abc

from mysql_mimic.auth import AuthInfo, AuthPlugin, AuthState, IdentityProvider, Success, User
from mysql_mimic.session import BaseSession
from mysql_mimic.utils import nonce
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bergamotcart.outcomes import Outcome

_NONCE_BYTES = 20
_GLOBAL_VARIABLES = GlobalVariables()


class StatementHandler(abc.ABC):
    """Where callers' sessions and statements go."""

    @abc.abstractmethod
    def open_session(self, caller: str, group: str | None) -> int:
        """Start a session and return its identifier."""

    @abc.abstractmethod
    def close_session(self, session_id: int) -> None:
        """End a session; its running statement gets no answer any more."""

    @abc.abstractmethod
    async def execute(self, session_id: int, sql: str) -> Outcome | None:
        """Run a statement; ``None`` means that the session ended meanwhile."""


class CallerSession(BaseSession):
    """Binds a connection to a session of the engine."""

    def __init__(self, handler: StatementHandler) -> None:
        """Start unbound; the session opens after the handshake."""
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
        """Open the session after the handshake."""
        self.open()

    async def close(self) -> None:
        """End the session when the connection ends."""
        self.end()

    def open(self) -> None:
        """Start a session of the engine."""
        self._session_id = self.handler.open_session(self.username or '', self.database or None)

    def end(self) -> None:
        """End the session of the engine, once."""
        session_id = self._session_id
        self._session_id = None
        if session_id is not None:
            self.handler.close_session(session_id)


class AnyPassword(AuthPlugin):
    """Accepts every password; the caller's name is the user name."""

    name = 'mysql_native_password'

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        """Send a nonce if the handshake has just begun, and accept any answer."""
        if auth_info is None:
            auth_info = yield b''.join((nonce(_NONCE_BYTES), b'\x00'))
        yield Success(auth_info.username)


class AnyCaller(IdentityProvider):
    """Knows every caller name."""

    def get_plugins(self) -> list[AuthPlugin]:
        """Offer only the plugin without a password check."""
        return [AnyPassword()]

    async def get_user(self, username: str) -> User:
        """Accept any name."""
        return User(name=username, auth_plugin=AnyPassword.name)
