"""Runs the first hour of the operators' page as it is written."""

import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import unittest

from bench.cluster import free_ports
from bulrushspur_kernel.errors import ErrorKind

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATORS.md").read_text()
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
RUN_S = 120


def read_commands():
    """Return the code blocks of the section, the install left to the caller."""
    section = PAGE.split("## First hour")[1].split("\n## ")[0]
    blocks = re.findall(r"```sh\n(.*?)```", section, re.DOTALL)
    return blocks[0], blocks[1:]


class FirstHourTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.mkdtemp(prefix="bulrushspur-")
        self.addCleanup(shutil.rmtree, folder)
        self.folder = pathlib.Path(folder)
        self.ports = {}

    def with_free_ports(self, text):
        """Put free ports for those of the page, the same for the same."""
        for port in ADDRESS.findall(text):
            if port not in self.ports:
                self.ports[port] = str(free_ports(1)[0])
        return ADDRESS.sub(lambda m: f"127.0.0.1:{self.ports[m[1]]}", text)

    def test_install_is_a_target(self):
        install, _ = read_commands()
        self.assertTrue(install.startswith("make env\n"))
        self.assertIn("\nenv: ", (ROOT / "Makefile").read_text())

    def test_commands_as_written(self):
        for path in (ROOT / "examples" / "hedgerow").iterdir():
            copy = self.folder / "examples" / "hedgerow" / path.name
            copy.parent.mkdir(parents=True, exist_ok=True)
            copy.write_text(self.with_free_ports(path.read_text()))
        _, blocks = read_commands()
        script = "set -eu\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"
        script += self.with_free_ports("\n".join(blocks))
        bin_folder = pathlib.Path(sys.executable).parent
        env = {**os.environ, "PATH": f"{bin_folder}:{os.environ['PATH']}"}
        result = subprocess.run(
            ["bash", "-c", script],
            cwd=self.folder,
            env=env,
            capture_output=True,
            text=True,
            timeout=RUN_S,
        )
        out = result.stdout
        self.assertEqual(result.returncode, 0, out + result.stderr)
        self.assertIn("examples/hedgerow/text.json is a valid text.", out)
        self.assertEqual(out.count("In force at 2 of 2 entry processes."), 3)
        # The answer of the worker's stand-in is made of the hash of the body.
        self.assertEqual(len(re.findall(r"[0-9a-f]{64}", out)), 2)
        self.assertIn("$.teams[peak-school].limit_tasks: 96 -> 80", out)
        self.assertIn('"kind":"unknown_key"', out)


class PageTest(unittest.TestCase):
    def test_each_kind_of_refusal_has_a_row(self):
        table = PAGE.split("## Refusals, and what to do")[1]
        listed = re.findall(
            r"`(\w+)`", "\n".join(re.findall(r"^\| (.*?) \|", table, re.M))
        )
        self.assertEqual(sorted(listed), sorted(one.value for one in ErrorKind))
