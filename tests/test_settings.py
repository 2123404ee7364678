"""Test the checks of the settings of an entry process.

They guard against invalid settings that are accepted, and against an error that names
the wrong field.
"""

import pathlib
import unittest

import msgspec

from bulrushspur_kernel.errors import BadSettingsError
from bulrushspur_kernel.settings import parse_settings

SETTINGS = {
    "name": "n1",
    "domain": "north",
    "callers_address": "127.0.0.1:8001",
    "ready_address": "127.0.0.1:8002",
    "peers_address": "127.0.0.1:8003",
    "store_address": "127.0.0.1:7000",
}
EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class SettingsTest(unittest.TestCase):
    def get_error(self, **changes):
        """Return the error text for the valid settings with some fields replaced."""
        with self.assertRaises(BadSettingsError) as caught:
            parse_settings(msgspec.json.encode({**SETTINGS, **changes}))
        return caught.exception.sentence

    def test_defaults(self):
        settings = parse_settings(msgspec.json.encode(SETTINGS))
        self.assertEqual(settings.bounds.connections, 1500)

    def test_wrong_unit_suggests_the_intended_field(self):
        error = self.get_error(bounds={"drain_ms": 5})
        self.assertIn("$.bounds.drain_ms", error)
        self.assertIn("drain_s is meant (unit: s)", error)

    def test_misspelt_field(self):
        self.assertIn("store_address is perhaps", self.get_error(store_adress="x"))

    def test_missing_field(self):
        settings = {key: SETTINGS[key] for key in SETTINGS if key != "domain"}
        with self.assertRaisesRegex(BadSettingsError, "domain"):
            parse_settings(msgspec.json.encode(settings))

    def test_repeated_address_and_port_out_of_range(self):
        error = self.get_error(peers_address="127.0.0.1:8001")
        self.assertIn("$.peers_address: 127.0.0.1:8001 is callers_address", error)
        self.assertIn("a port is", self.get_error(ready_address="127.0.0.1:70000"))

    def test_examples(self):
        paths = list(EXAMPLES.glob("*/entry-*.json"))
        self.assertEqual(len(paths), 4)
        for path in paths:
            parse_settings(path.read_bytes())
