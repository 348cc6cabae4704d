"""Finds the lines of a file to which the paths of problems point."""

import re
from collections.abc import Iterator
from typing import Final

import yaml

_BYTE_OFFSET: Final = re.compile(r'\(byte (\d+)\)')
_INDEX: Final = re.compile(r'^\[(\d+)\]')
_BODY: Final = 'body'


class SourceLines:
    """Lines of the values of a file in YAML or JSON, by path."""

    __slots__ = ('_root', '_text')

    def __init__(self, text: str) -> None:
        """Parse the text; one that is malformed has no paths."""
        self._text = text
        self._root = _compose(text)

    def find(self, path: str, message: str = '') -> int | None:
        """Return the line of a value or of the nearest one around it, counted from 1.

        :param path: path as in ``Problem.path``.
        :param message: text of the problem, which may name the byte of malformed JSON.
        """
        offset = _BYTE_OFFSET.search(message)
        if offset is not None and not path:
            return self._text.encode()[: int(offset[1])].count(b'\n') + 1
        return None if self._root is None else _find_line(self._root, path, 1)


def _compose(text: str) -> yaml.Node | None:
    # JSON is also YAML, except for tabs.
    try:
        return yaml.compose(text.replace('\t', ' '), Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError, ValueError):
        return None


def _find_line(node: yaml.Node, path: str, first_line: int) -> int:
    """Return the line of a path below a node.

    :param first_line: line of the file at which the text of the node's document starts.
    """
    line = first_line + node.start_mark.line
    rest = path.removeprefix('.')
    if not rest:
        return line
    if isinstance(node, yaml.ScalarNode):
        return _find_line_in_block(node, rest, line)
    for child, child_path, key_line in _list_children(node, rest):
        found = _find_line(child, child_path, first_line)
        # The key of a value names it, so its line is shown if the value itself is the target.
        is_target = child_path.strip('.') == ''
        return first_line + key_line if is_target else found
    return line


def _find_line_in_block(node: yaml.ScalarNode, path: str, line: int) -> int:
    """Return the line of a path in a body that is a block of text."""
    inner = _compose(node.value) if node.style == '|' else None
    return line if inner is None else _find_line(inner, path, line + 1)


def _list_children(node: yaml.Node, path: str) -> Iterator[tuple[yaml.Node, str, int]]:
    """Yield the child at the start of a path, the rest of the path, and the line of its key."""
    if isinstance(node, yaml.SequenceNode):
        index = _INDEX.match(path)
        if index is not None and int(index[1]) < len(node.value):
            child = node.value[int(index[1])]
            yield child, path[index.end() :], child.start_mark.line
        return
    children = {key.value: (child, key.start_mark.line) for key, child in node.value}
    fitting = [name for name in children if _is_prefix(name, path)]
    # Names may contain dots, so the longest key that fits is the right one. Paths of problems leave
    # out the body of a section.
    name = max(fitting, key=len, default=_BODY)
    found = children.get(name)
    if found is not None:
        yield found[0], path.removeprefix(name) if fitting else path, found[1]


def _is_prefix(name: str, path: str) -> bool:
    rest = path.removeprefix(name)
    return path.startswith(name) and (not rest or rest[0] in '.[')
