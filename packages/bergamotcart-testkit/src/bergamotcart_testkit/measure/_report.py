"""The report of a measurement."""

from collections import Counter
from pathlib import Path

import msgspec

from bergamotcart_testkit.load import Journal
from bergamotcart_testkit.measure._failovers import Failover
from bergamotcart_testkit.measure._figures import Figure, Latencies

_PHASES = ('detection', 'freeze', 'collection', 'promotion', 'publication')


class Report(msgspec.Struct, kw_only=True):
    """Results of one run."""

    layout: str
    fault: str
    seed: int
    duration_s: float
    figures: list[Figure]
    failovers: list[Failover]
    latencies: dict[str, Latencies]
    outcomes: dict[str, int]
    violations: list[str]

    def write(self, path: Path) -> None:
        """Write the report as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=2))

    def table(self) -> str:
        """Return a short table with the target beside each figure."""
        lines = [f'{"figure":<58}{"measured":>12}{"target":>12}']
        lines.extend(_figure_line(figure) for figure in self.figures)
        lines.extend(_failover_line(failover) for failover in self.failovers)
        lines.extend(
            f'{kind:<20} n={each.count:<7} p50 {each.p50_ms:.1f} ms, p99 {each.p99_ms:.1f} ms'
            for kind, each in self.latencies.items()
        )
        lines.extend(f'{outcome}: {count}' for outcome, count in self.outcomes.items())
        lines.extend(self.violations)
        return '\n'.join(lines)


def count_outcomes(journal: Journal) -> dict[str, int]:
    """Count the answers by verdict and reason."""
    counts: Counter[str] = Counter()
    for operation in journal.operations:
        reason = '' if operation.answer.ran else f' ({operation.answer.reason})'
        counts[f'{operation.verdict}{reason}'] += 1
    return dict(counts.most_common())


def _figure_line(figure: Figure) -> str:
    sign = '>=' if figure.at_least else '<='
    measured = 'not run' if figure.measured is None else f'{figure.measured:.3g}'
    mark = {True: '', False: '  MISSED', None: ''}[figure.is_met]
    target = f'{sign} {figure.target:g}'
    name = f'{figure.name} [{figure.unit}]'
    return f'{name:<58}{measured:>12}{target:>12}{mark}'


def _failover_line(failover: Failover) -> str:
    times = [getattr(failover, f'{phase}_s') for phase in _PHASES]
    parts = [
        f'{phase} {"?" if seconds is None else format(seconds, ".3f")}'
        for phase, seconds in zip(_PHASES, times, strict=True)
    ]
    gap = 'none' if failover.gap_s is None else f'{failover.gap_s:.3f} s'
    return f'{failover.fault} {failover.instance}: gap {gap} = {", ".join(parts)}'
