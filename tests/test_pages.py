"""Tests that the pages of settings and text tell every field and its default."""

import pathlib
import re
import unittest

import msgspec

from bulrushspur_kernel import settings, text

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
ROW = re.compile(r"^\| `(\w+)` \| (.*?) \|", re.MULTILINE)


def read_section(page, name):
    """Return the rows of a section: default by field."""
    return dict(ROW.findall(page.split(f"\n## `{name}`\n")[1].split("\n## ")[0]))


def tell_default(field):
    if field.default_factory is list:
        return "`[]`"
    if field.default_factory is not msgspec.NODEFAULT:
        return "all defaults"
    if field.default is msgspec.NODEFAULT:
        return "needed"
    if field.default == []:
        return "`[]`"
    builtin = msgspec.to_builtins(field.default)
    return f"`{msgspec.json.encode(builtin).decode()}`"


class PagesTest(unittest.TestCase):
    def check(self, page_name, structs):
        page = (DOCS / page_name).read_text()
        for name, struct in structs.items():
            fields = msgspec.structs.fields(struct)
            expected = {one.name: tell_default(one) for one in fields}
            self.assertEqual(read_section(page, name), expected, name)

    def test_settings(self):
        self.check("SETTINGS.md", settings._STRUCTS)

    def test_text(self):
        self.check("TEXT.md", text._STRUCTS)
