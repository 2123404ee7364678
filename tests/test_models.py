"""Check that the models hold and that each of their mutants is refuted.

The mutants guard against an invariant that no state can violate, and against a model
too small to reach the fault.
"""

import contextlib
import io
import unittest

from bulrushspur_kernel import plugins
from models import takeover  # noqa: F401 - registers itself
from models.run import check_spec


class ModelsTest(unittest.TestCase):
    def test_models_hold_and_mutants_are_refuted(self):
        for name, make_spec in plugins.list_plugins("model").items():
            with self.subTest(model=name), contextlib.redirect_stdout(io.StringIO()):
                states, refuted, surviving = check_spec(make_spec())
                self.assertGreater(states, 1000)
                self.assertEqual((refuted, surviving), (0, 0))
