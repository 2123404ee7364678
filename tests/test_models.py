"""Checks the specifications and that each mutant is refuted."""

import contextlib
import io
import unittest

from bulrushspur_kernel import plugins
from models import takeover  # noqa: F401 - registers itself
from models.run import check_spec


class ModelsTest(unittest.TestCase):
    def test_specifications_hold_and_mutants_do_not(self):
        for name, make_spec in plugins.list_plugins("model").items():
            with self.subTest(model=name), contextlib.redirect_stdout(io.StringIO()):
                states, refuted, surviving = check_spec(make_spec())
                self.assertGreater(states, 1000)
                self.assertEqual((refuted, surviving), (0, 0))
