"""The fuzz tests as a command."""

import secrets
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bergamotcart_testkit.fuzz._run import FuzzRun, run_fuzz_tests

_SEED_BITS = 32


class FuzzCommand(Command):
    """Runs the fuzz tests with many examples."""

    name = 'fuzz'
    description = 'Run the fuzz tests of both engines and of consensus.'
    options: ClassVar[list[Option]] = [
        option('examples', None, 'number of examples of each fuzz test', flag=False, default='300'),
        option('seed', None, 'seed of a run to repeat; random if left out', flag=False),
    ]

    def handle(self) -> int:
        """Print the seed, and run the fuzz tests."""
        seed_option = self.option('seed')
        seed = secrets.randbits(_SEED_BITS) if seed_option is None else int(seed_option)
        run = FuzzRun(int(self.option('examples')), seed)
        self.line(f'seed {run.seed}, {run.examples} examples')
        # The subprocess writes to the same file: flush, so that the seed precedes its output.
        self.io.output.flush()
        status = run_fuzz_tests(run)
        if status:
            arguments = f'--examples {run.examples} --seed {run.seed}'
            self.line(f'repeat with: make fuzz ARGS="{arguments}"')
        return status
