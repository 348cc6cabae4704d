"""Tests that the examples of the documentation run."""

import runpy
from pathlib import Path

_EXAMPLES = Path(__file__).parents[2] / 'docs' / 'examples'


def test_embedding_example_accepts_document(capsys):
    """Guards against an embedding example whose output differs from the documentation."""
    runpy.run_path(str(_EXAMPLES / 'embed.py'), run_name='__main__')
    assert capsys.readouterr().out == '200 accepted revision 2\n'
