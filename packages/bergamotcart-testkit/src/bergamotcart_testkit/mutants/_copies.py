"""Copies of the library's sources, with a fault or unchanged."""

import shutil
from pathlib import Path
from typing import Final

import bergamotcart
from bergamotcart_testkit.mutants._fault import Fault

# Shrinking a failing example takes minutes and is not needed to detect a fault.
_CONFTEST: Final = """\
from hypothesis import Phase, settings

settings.register_profile('mutants', phases=(Phase.explicit, Phase.generate))
settings.load_profile('mutants')
"""


class MutantError(Exception):
    """A fault cannot be applied to the current sources."""


def library_source() -> Path:
    """Return the folder that contains the library's package."""
    return Path(bergamotcart.__file__).parents[1]


def apply_fault(fault: Fault, text: str) -> str:
    """Return the text of the fault's file with the fault applied.

    :param fault: the fault.
    :param text: current text of its file.
    :raises MutantError: if an old text does not occur exactly once.
    """
    for replacement in fault.replacements:
        count = text.count(replacement.old)
        if count != 1:
            raise MutantError(
                f'fault {fault.name!r}: old text found {count} times in {fault.path}, expected once: '
                f'{replacement.old}'
            )
        text = text.replace(replacement.old, replacement.new)
    return text


def copy_library(folder: Path, fault: Fault | None) -> None:
    """Copy the sources to a new folder.

    :param folder: folder to create.
    :param fault: fault to apply, or ``None`` for an unchanged copy.
    :raises MutantError: if the fault does not apply.
    """
    ignored = shutil.ignore_patterns('__pycache__', '*.egg-info', '.hypothesis')
    shutil.copytree(library_source(), folder, ignore=ignored)
    (folder / 'conftest.py').write_text(_CONFTEST)
    if fault is not None:
        faulty_file = folder / fault.path
        faulty_file.write_text(apply_fault(fault, faulty_file.read_text()))
