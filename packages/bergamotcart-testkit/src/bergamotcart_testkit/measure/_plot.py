"""Plot of the write rate during faults."""

from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure

from bergamotcart_testkit.load import Load
from bergamotcart_testkit.measure._failovers import Failover, writes_per_interval

_INTERVAL_S = 0.1


def plot_writes(load: Load, failovers: list[Failover], path: Path) -> None:
    """Plot the acknowledged writes per second, with a dashed line at each fault."""
    mpl.use('Agg')
    points = list(writes_per_interval(load, _INTERVAL_S))
    start = points[0][0] if points else 0.0
    figure = Figure(figsize=(10, 4))
    axes = figure.subplots()
    seconds = [when - start for when, _ in points]
    rates = [count / _INTERVAL_S for _, count in points]
    axes.step(seconds, rates, where='post')
    for failover in failovers:
        axes.axvline(failover.at - start, color='red', linestyle='--', linewidth=1)
    axes.set_xlabel('time [s]')
    axes.set_ylabel('acknowledged writes [1/s]')
    axes.set_title('Writes across faults (dashed)')
    figure.savefig(path, dpi=120)
