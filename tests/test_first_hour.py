"""Test that the first hour in docs/OPERATORS.md works as written.

The shell blocks of the section, except the first, run as one script, in which only the
ports and the paths of the examples are replaced.
"""

import os
import pathlib
import re
import subprocess
import tempfile
import unittest

from bench.ports import find_free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATORS.md"
PORTS = (7000, 7100, 7101, 7102, 7103, 7110, 7111, 7112, 7113)


class FirstHourTest(unittest.TestCase):
    def test_commands_run_as_written(self):
        section = PAGE.read_text().split("## First hour")[1].split("\n## ")[0]
        blocks = re.findall(r"```sh\n(.*?)```", section, re.DOTALL)
        script = "set -euo pipefail\n" + "\n".join(blocks[1:])
        ports = {str(port): str(find_free_port()) for port in PORTS}
        with tempfile.TemporaryDirectory() as folder:
            for name in ("derwent-1", "severn-1"):
                path = ROOT / "examples" / "hedgerow" / f"entry-{name}.json"
                text = replace_ports(path.read_text(), ports)
                pathlib.Path(folder, f"entry-{name}.json").write_text(text)
            script = replace_ports(script, ports)
            script = script.replace("examples/hedgerow/entry-", "entry-")
            script = script.replace("examples/", f"{ROOT}/examples/")
            path = f"{ROOT}/.venv/bin:{os.environ['PATH']}"
            result = subprocess.run(
                ["bash", "-c", script],
                cwd=folder,
                env={**os.environ, "PATH": path},
                capture_output=True,
                text=True,
                timeout=90,
                check=False,
            )
        out = result.stdout + result.stderr
        self.assertIn("In force at 2 of 2 entry processes.", out)
        self.assertIn('"state":"queued"', out)
        self.assertIn("limit_tasks: 96 -> 80", out)
        self.assertIn("is withdrawn", out)
        self.assertIn("unknown_key", out)
        self.assertEqual(result.returncode, 0, out)


def replace_ports(text, ports):
    return re.sub(r"\b7[01]\d\d\b", lambda match: ports.get(match[0], match[0]), text)
