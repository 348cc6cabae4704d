"""Types that describe a deliberate fault."""

from dataclasses import dataclass
from typing import Final

# Condition that disables a branch.
NEVER: Final = 'if False:'


@dataclass(frozen=True, slots=True)
class Replacement:
    """A change of text.

    :param old: text that must occur exactly once in the file.
    :param new: text that takes its place.
    """

    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Fault:
    """A deliberate fault in one file.

    :param path: changed file, from the library's source folder on.
    :param replacements: changes of the file; several if more than one check prevents the failure.
    :param tests: tests that must fail, named as for pytest from the library's source folder on.
    :param examples: examples of a fuzz test, or ``None`` for the test's default.
    :param seed: seed of a fuzz test, or ``None`` for the fixed examples.
    """

    name: str
    path: str
    replacements: tuple[Replacement, ...]
    tests: str
    examples: int | None = None
    seed: int | None = None
