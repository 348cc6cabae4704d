"""The ``diff`` command."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument

from bergamotcart_ctl import documents
from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)


class DiffCommand(ControlCommand):
    """Compares a file with the document in force."""

    name = 'diff'
    description = 'Show how FILE differs from the document in force.'
    arguments: ClassVar = [argument('file', 'YAML document with all sections.')]
    options: ClassVar = build_common_options()

    async def run_with_client(self, client: ControlClient) -> int:
        """Print a unified diff of each section that differs."""
        file_sections = documents.load_document(Path(self.argument('file')))
        server_sections = documents.parse_sections(await client.get('/v1/document'))
        names = sorted(file_sections.keys() | server_sections.keys())
        diffs = [
            documents.diff_section(server_sections.get(name), file_sections.get(name), name)
            for name in names
        ]
        write_output('\n'.join(diff for diff in diffs if diff) or 'no difference')
        return ExitStatus.success
