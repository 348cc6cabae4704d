"""The commands ``document get`` and ``document history``."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option

from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.documents import (
    BaseCopy,
    FileError,
    dump_document,
    parse_sections,
    store_base_copy,
)


class GetCommand(ControlCommand):
    """Reads the document in force."""

    name = 'document get'
    description = 'Read the document; with --output, also keep the versions that it is based on.'
    options: ClassVar = [
        option('output', None, 'File to write, with its base copy beside it.', flag=False),
        *build_common_options(),
    ]

    async def run_with_client(self, client: ControlClient) -> int:
        """Print the document, or write it to a file with its base copy."""
        sections = parse_sections(await client.get('/v1/document'))
        text = dump_document(sections)
        output = self.option('output')
        if output is None:
            write_output(text)
            return ExitStatus.success
        path = Path(output)
        try:
            path.write_text(text)
        except OSError as error:
            raise FileError(f'cannot write {path}: {error.strerror}') from error
        store_base_copy(path, BaseCopy(sections=sections))
        write_output(f'wrote {path} with {len(sections)} sections')
        return ExitStatus.success


class HistoryCommand(ControlCommand):
    """Shows the latest changes of a section."""

    name = 'document history'
    description = 'Show the latest changes of a section.'
    arguments: ClassVar = [argument('section', 'Name of the section.')]
    options: ClassVar = build_common_options()

    async def run_with_client(self, client: ControlClient) -> int:
        """Print each change with its diff."""
        response = await client.get(f'/v1/changes/{self.argument("section")}')
        changes = response.get('changes') or []
        for change in changes:
            title = f'version {change["version"]}, revision {change["index"]}'
            write_output(f'{title}, change {change["change_id"]}\n{change["diff"]}\n')
        if not changes:
            write_output('no changes')
        return ExitStatus.success
