"""Directives that a caller sends in a sqlcommenter comment."""

import re
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final
from urllib.parse import unquote

from bergamotcart.documents import Repeatable

MAX_REQUEST_ID_CHARS: Final = 128
_MAX_DURATION_S: Final = 31_536_000.0
_COMMENT: Final = re.compile(
    r"'(?:[^'\\]|\\.|'')*'"
    r'|"(?:[^"\\]|\\.|"")*"'
    r'|`(?:[^`]|``)*`'
    r'|/\*(?![!+])(?P<body>.*?)\*/',
    re.DOTALL,
)
_PAIR: Final = re.compile(r"\s*([\w.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(?:,|$)")
_OWN_KEY: Final = re.compile(r'\b(?:session|request|repeatable|max_age|deadline)\s*=')
_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_UNIT_S: Final = MappingProxyType({'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0})


class DirectiveError(ValueError):
    """A directive of ours has a malformed value."""


@dataclass(frozen=True, slots=True)
class Directives:
    """What a caller asks for one request.

    :param session: session token.
    :param request: request identifier.
    :param max_age_s: greatest age of a read, in seconds.
    :param deadline_s: seconds after which the request is given up.
    """

    session: str | None = None
    request: str | None = None
    repeatable: Repeatable | None = None
    max_age_s: float | None = None
    deadline_s: float | None = None


_NONE: Final = Directives()


def extract_directives(sql: str) -> tuple[str, Directives]:
    """Split a statement into its text without our comment and the directives in it.

    :param sql: statement as sent.
    :returns: statement without the comment that held directives, and the directives.
    :raises DirectiveError: if a directive of ours is malformed or given twice.
    """
    if '/*' not in sql:
        return sql, _NONE
    found: dict[str, str] = {}
    kept: list[str] = []
    end = 0
    for match in _COMMENT.finditer(sql):
        body = match.group('body')
        if body is None or not _OWN_KEY.search(body):
            continue
        _read_pairs(body, found)
        kept.append(sql[end : match.start()])
        end = match.end()
    kept.append(sql[end:])
    return ''.join(kept).strip(), _build(found) if found else _NONE


def parse_duration(text: str) -> float:
    """Return the seconds in a duration such as ``5s`` or ``250ms``.

    :raises DirectiveError: if the text is no duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise DirectiveError(f'malformed duration {text[:32]!r}')
    seconds = float(match.group(1)) * _UNIT_S[match.group(2)]
    if seconds > _MAX_DURATION_S:
        raise DirectiveError(f'duration {text[:32]!r} is too long')
    return seconds


def _read_pairs(body: str, found: dict[str, str]) -> None:
    position = 0
    body = body.strip()
    while position < len(body):
        match = _PAIR.match(body, position)
        if match is None:
            raise DirectiveError(f'malformed comment at character {position}')
        key = unquote(match.group(1))
        text = unquote(match.group(2).replace(r'\'', "'"))
        if key in _OWN_KEYS:
            if key in found:
                raise DirectiveError(f'{key} is given twice')
            found[key] = text
        position = match.end()


def _build(found: dict[str, str]) -> Directives:
    request = found.get('request')
    if request is not None and not 0 < len(request) <= MAX_REQUEST_ID_CHARS:
        raise DirectiveError(f'request needs 1 to {MAX_REQUEST_ID_CHARS} characters')
    max_age = found.get('max_age')
    deadline = found.get('deadline')
    return Directives(
        session=found.get('session'),
        request=request,
        repeatable=_parse_repeatable(found.get('repeatable')),
        max_age_s=None if max_age is None else parse_duration(max_age),
        deadline_s=None if deadline is None else parse_duration(deadline),
    )


def _parse_repeatable(text: str | None) -> Repeatable | None:
    if text is None:
        return None
    if text not in {Repeatable.yes, Repeatable.no}:
        raise DirectiveError("repeatable must be 'yes' or 'no'")
    return Repeatable(text)


_OWN_KEYS: Final = frozenset(('session', 'request', 'repeatable', 'max_age', 'deadline'))
