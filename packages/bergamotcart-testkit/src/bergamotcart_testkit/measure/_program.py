"""The measurement as a command."""

import asyncio
import logging
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bergamotcart_testkit.deployment import LAYOUTS
from bergamotcart_testkit.measure._failovers import Fault
from bergamotcart_testkit.measure._measurement import Measurement, MeasureSettings


class MeasureCommand(Command):
    """Measures a layout under a mixed load with one kind of fault."""

    name = 'measure'
    description = 'Measures the figures for which the design page sets targets'
    options = [
        option('layout', None, 'layout: umunyu, serambi or small', flag=False, default='umunyu'),
        option('fault', None, 'none, kill, isolate, lag or leave', flag=False, default='none'),
        option('duration', None, 'length of the load in seconds', flag=False, default=20),
        option('seed', None, 'seed of the load and the relays', flag=False, default=1),
        option('output', None, 'file for the report', flag=False, default='report.json'),
        option('folder', None, 'folder that keeps the logs', flag=False),
        option('plot', None, 'file for the plot (default: beside the report)', flag=False),
    ]

    def handle(self) -> int:
        """Measure, print the table, and write the report and the plot."""
        logging.basicConfig(level=logging.WARNING)
        output = Path(self.option('output'))
        plot = self.option('plot')
        folder = self.option('folder')
        settings = MeasureSettings(
            layout=LAYOUTS[self.option('layout')],
            fault=Fault(self.option('fault')),
            duration_s=float(self.option('duration')),
            seed=int(self.option('seed')),
            folder=Path(folder) if folder else None,
            plot=Path(plot) if plot else output.with_suffix('.png'),
        )
        report = asyncio.run(Measurement(settings).run())
        report.write(output)
        self.line(report.table())
        return 0
