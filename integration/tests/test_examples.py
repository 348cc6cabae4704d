"""Guards against examples of the documentation that no longer run."""

import runpy
from pathlib import Path

_EXAMPLES = Path(__file__).parents[2] / 'docs' / 'examples'


def test_the_embedding_example_accepts_a_document(capsys):
    """A newcomer's first program must do what the page says."""
    runpy.run_path(str(_EXAMPLES / 'embed.py'), run_name='__main__')
    assert capsys.readouterr().out == '200 accepted revision 2\n'
