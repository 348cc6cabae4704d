"""The capacity measurement as a command."""

import json
import subprocess
import sys
from pathlib import Path
from typing import ClassVar, Final

import numpy as np
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bergamotcart_testkit.capacity._control import measure_control
from bergamotcart_testkit.capacity._entry import measure_entry
from bergamotcart_testkit.capacity._sample import Sample, Scale

_NODES: Final = (9, 50, 200, 800)
_GROUPS_PER_NODE: Final = 1900 / 800
_FIGURES: Final = (
    'cpu_share',
    'messages_in',
    'messages_out',
    'bytes_in',
    'bytes_out',
    'largest_message',
    'memory_mb',
    'change_cpu_s',
    'change_bytes',
)


class CapacityCommand(Command):
    """Measures one engine at several sizes and fits a line through each figure."""

    name = 'capacity'
    description = 'Measure processor time, messages and memory of one engine at several sizes.'
    options: ClassVar[list[Option]] = [
        option('role', None, 'control or entry; both if left out', flag=False),
        option('nodes', None, 'one size only, in this process', flag=False),
        option('groups', None, 'database groups; in proportion to the nodes', flag=False),
        option('seconds', None, 'simulated seconds of operation', flag=False, default='5'),
        option('output', None, 'file for the JSON report', flag=False),
    ]

    def handle(self) -> int:
        """Measure, print the samples, and write the report."""
        if self.option('nodes'):
            self.line(json.dumps(self._measure_in_process().as_dict()))
            return 0
        roles = [self.option('role')] if self.option('role') else ['control', 'entry']
        report = {
            role: [self._measure_in_subprocess(role, nodes) for nodes in _NODES] for role in roles
        }
        for role, samples in report.items():
            self._print_samples(role, samples)
        if self.option('output'):
            Path(self.option('output')).write_text(json.dumps(report, indent=2))
        return 0

    def _measure_in_process(self) -> Sample:
        nodes = int(self.option('nodes'))
        groups = int(self.option('groups') or round(nodes * _GROUPS_PER_NODE))
        scale = Scale(nodes, groups, float(self.option('seconds')))
        measure = measure_entry if self.option('role') == 'entry' else measure_control
        return measure(scale)

    def _measure_in_subprocess(self, role: str, nodes: int) -> dict[str, float]:
        """Measure in a new process, so that memory of one size does not count for the next."""
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'bergamotcart_testkit.capacity',
                f'--role={role}',
                f'--nodes={nodes}',
                f'--seconds={self.option("seconds")}',
            ],
            capture_output=True,
            check=True,
            text=True,
        )
        return json.loads(finished.stdout)

    def _print_samples(self, role: str, samples: list[dict[str, float]]) -> None:
        self.line(f'{role}: nodes {", ".join(str(sample["nodes"]) for sample in samples)}')
        sizes = [sample['nodes'] for sample in samples]
        for figure in _FIGURES:
            measured = [sample[figure] for sample in samples]
            slope = np.polyfit(sizes, measured, 1)[0]
            columns = '  '.join(f'{value:12.4g}' for value in measured)
            self.line(f'  {figure:16} {columns}   slope per node {slope:.3g}')
