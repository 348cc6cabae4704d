"""Base copy of a document file: a file beside it with the sections as last read from the server."""

from pathlib import Path

import msgspec
import yaml

from bergamotcart_ctl.documents._document import FileError, Section


class PendingChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was sent and whose response has not been received."""

    change_id: str
    body: str


class BaseCopy(msgspec.Struct, kw_only=True):
    """Sections as the server had them when the operator last read or changed them.

    :param pending: changes without a response, by section. A retry with the same body uses the
        same identifier, so that control does not apply the change twice.
    """

    sections: dict[str, Section] = {}
    pending: dict[str, PendingChange] = {}


def load_base_copy(path: Path) -> BaseCopy | None:
    """Read the base copy of a document file; return ``None`` if there is none.

    :param path: path of the document file.
    :raises FileError: if the base copy cannot be read or is malformed.
    """
    base_path = _build_base_path(path)
    try:
        text = base_path.read_text()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise FileError(f'cannot read {base_path}: {error.strerror}') from error
    try:
        return msgspec.convert(yaml.safe_load(text), BaseCopy)
    except (yaml.YAMLError, ValueError) as error:
        raise FileError(f'malformed base copy {base_path}: {error}') from error


def store_base_copy(path: Path, base: BaseCopy) -> None:
    """Write the base copy of a document file.

    :param path: path of the document file.
    :raises FileError: if the file cannot be written.
    """
    base_path = _build_base_path(path)
    try:
        base_path.write_text(yaml.safe_dump(msgspec.to_builtins(base), sort_keys=True))
    except OSError as error:
        raise FileError(f'cannot write {base_path}: {error.strerror}') from error


def _build_base_path(path: Path) -> Path:
    return path.with_name(f'{path.name}.base')
