"""The ``apply`` command."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option

from bergamotcart_ctl import documents
from bergamotcart_ctl.client import ControlClient
from bergamotcart_ctl.commands._base import (
    ControlCommand,
    ExitStatus,
    UsageError,
    build_common_options,
    write_output,
)
from bergamotcart_ctl.commands._send_section import ApplyPlan, send_section
from bergamotcart_ctl.commands._wait import build_timeout_option, parse_timeout, wait_and_report


class ApplyCommand(ControlCommand):
    """Sends the sections of a file that differ from its base copy."""

    name = 'apply'
    description = (
        'Send the sections of FILE that differ from its base copy. The base version comes from '
        '"document get --output FILE" or from --base-version.'
    )
    arguments: ClassVar = [argument('file', 'YAML document with all sections.')]
    options: ClassVar = [
        option('section', None, 'Send only this section.', flag=False),
        option('base-version', None, 'Version that --section is based on.', flag=False),
        option('dry-run', None, 'Only check the change.'),
        option('wait', None, 'Wait until the change is in force on all entries.'),
        option('change-id', None, 'Identifier of the change of --section.', flag=False),
        build_timeout_option(),
        *build_common_options(),
    ]

    async def run_with_client(self, client: ControlClient) -> int:
        """Send the sections one after the other; stop at the first that is not accepted."""
        plan = self._build_plan()
        if not plan.sections:
            write_output('nothing to apply: no section differs from its base copy')
            return ExitStatus.success
        timeout_s = parse_timeout(self.option('timeout'))
        revisions = [await send_section(client, plan, name) for name in plan.sections]
        if self.option('wait') and not plan.dry_run:
            return await wait_and_report(client, max(revisions), timeout_s)
        return ExitStatus.success

    def _build_plan(self) -> ApplyPlan:
        path = Path(self.argument('file'))
        sections = documents.load_document(path)
        base = documents.load_base_copy(path)
        section_name = self._validate_section_option(path, sections)
        base_version = self.option('base-version')
        if base_version is None:
            changed = documents.find_changed_sections(
                sections,
                _require_base_copy(path, base).sections,
            )
        else:
            base = base or documents.BaseCopy()
            changed = {section_name: sections[section_name]}
        return ApplyPlan(
            path=path,
            base=base,
            sections={name: changed[name] for name in changed if section_name in {None, name}},
            change_id=self.option('change-id'),
            base_version=None if base_version is None else _parse_version(base_version),
            dry_run=self.option('dry-run'),
        )

    def _validate_section_option(
        self,
        path: Path,
        sections: dict[str, documents.Section],
    ) -> str | None:
        section_name = self.option('section')
        if section_name is None:
            if self.option('base-version') is not None or self.option('change-id') is not None:
                raise UsageError('--base-version and --change-id need --section')
        elif section_name not in sections:
            raise UsageError(f'{path} has no section {section_name!r}')
        return section_name


def _require_base_copy(path: Path, base: documents.BaseCopy | None) -> documents.BaseCopy:
    if base is None:
        raise UsageError(
            f'no base version for {path}: read the document with '
            f'"document get --output {path}", or give --section and --base-version',
        )
    return base


def _parse_version(version: str) -> int:
    if not version.isdigit():
        raise UsageError(f'--base-version must be a whole number, got {version!r}')
    return int(version)
