"""Check that the models hold and that each of their mutants is refuted.

The mutants guard against an invariant that no state can violate, and against a model
too small to reach the fault.
"""

import contextlib
import importlib
import io
import unittest

from bulrushspur_kernel import plugins
from models.run import MODEL_MODULES, check_spec

# The smallest model has 55; the largest one alone reaches most faults.
MIN_STATES = 50
MIN_STATES_OF_LARGEST = 1000


class ModelsTest(unittest.TestCase):
    def test_models_hold_and_mutants_are_refuted(self):
        for name in MODEL_MODULES:
            importlib.import_module(f"models.{name}")
        counts = []
        for name, make_spec in plugins.list_plugins("model").items():
            with self.subTest(model=name), contextlib.redirect_stdout(io.StringIO()):
                states, refuted, surviving = check_spec(make_spec())
                counts.append(states)
                self.assertGreater(states, MIN_STATES)
                self.assertEqual((refuted, surviving), (0, 0))
        self.assertEqual(len(counts), len(MODEL_MODULES))
        self.assertGreater(max(counts), MIN_STATES_OF_LARGEST)
