"""Test that the pages on settings and on the text list every field and its default.

They guard against a field or default that is changed in the code but not on its page.
"""

import pathlib
import re
import unittest

import msgspec

from bulrushspur_kernel import settings, text

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
ROW = re.compile(r"^\| `(\w+)` \| (.*?) \|", re.MULTILINE)


def read_section(page, name):
    """Return the defaults that the section of a struct lists, by field."""
    return dict(ROW.findall(page.split(f"\n## `{name}`\n")[1].split("\n## ")[0]))


def format_default(field):
    """Format the default of a field as the pages write it."""
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
    def check_page(self, page_name, structs):
        page = (DOCS / page_name).read_text()
        for name, struct in structs.items():
            fields = msgspec.structs.fields(struct)
            expected = {field.name: format_default(field) for field in fields}
            self.assertEqual(read_section(page, name), expected, name)

    def test_settings(self):
        self.check_page("SETTINGS.md", settings._STRUCT_BY_FIELD)

    def test_text(self):
        self.check_page("TEXT.md", text.STRUCT_BY_FIELD)
