"""Tests of what the process leaves out of its memory."""

import subprocess
import sys
import unittest

LEFT_OUT = """
import sys
import bulrushspur_daemon.main
from bulrushspur_kernel.keys import hash_key
print(sorted({"ssl", "_ssl", "_hashlib", "fire"} & set(sys.modules)), hash_key("k"))
"""


class SlimTest(unittest.TestCase):
    def test_process_loads_no_openssl_and_hashes_keys_alike(self):
        from bulrushspur_kernel.keys import hash_key

        done = subprocess.run(
            [sys.executable, "-c", LEFT_OUT], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.split(), ["[]", hash_key("k")])
