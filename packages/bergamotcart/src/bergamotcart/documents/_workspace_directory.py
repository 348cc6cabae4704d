"""Workspaces of a document, found by the keys of their callers."""

import base64
import hashlib
import hmac
from typing import Final

from bergamotcart.documents._schema import Workspace

_DIGEST_BYTES: Final = 16


def digest_key(key: str) -> str:
    """Return the digest under which a key is kept.

    :param key: key of a workspace; bytes that are not valid UTF-8 are surrogates in it.
    """
    encoded = key.encode('utf-8', 'surrogateescape')
    digest = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b'=').decode()


class WorkspaceDirectory:
    """Workspaces by name and by the digests of their keys."""

    __slots__ = ('_by_digest', '_by_name')

    def __init__(self) -> None:
        """Create an empty directory."""
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[str, Workspace] = {}

    def __len__(self) -> int:
        """Return the number of workspaces."""
        return len(self._by_name)

    @property
    def workspaces(self) -> tuple[Workspace, ...]:
        """All workspaces."""
        return tuple(self._by_name.values())

    def add(self, workspace: Workspace) -> str | None:
        """Add a workspace.

        :returns: why it cannot be added, without its keys, or ``None`` if it was added.
        """
        if workspace.name in self._by_name:
            return f'another workspace has the name {workspace.name!r}'
        owners = {
            owner.name
            for digest in workspace.key_digests
            if (owner := self._by_digest.get(digest)) is not None
        }
        if owners:
            return f'shares a key with the workspace {min(owners)!r}'
        self._by_name[workspace.name] = workspace
        self._by_digest.update(dict.fromkeys(workspace.key_digests, workspace))
        return None

    def get(self, name: str) -> Workspace | None:
        """Return the workspace with a name, or ``None``."""
        return self._by_name.get(name)

    def find_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace that holds a key, or ``None``.

        :param digest: digest of the key (``digest_key``).
        """
        workspace = self._by_digest.get(digest)
        if workspace is None:
            return None
        is_held = any(hmac.compare_digest(digest, held) for held in workspace.key_digests)
        return workspace if is_held else None
