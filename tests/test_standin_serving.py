"""Test the faults of stand-in services that carry a request out late.

Guards against an answer that is not meant to come, and against an order that is carried
out by a service that has ended.
"""

import asyncio
import random
import time
import unittest

from bulrushspur_kernel.http_client import ResponseLostError, fetch
from bulrushspur_standins.serving import Faults, json_answer, make_server


class LateExecutionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handled = []
        self.faults = Faults(
            late_execution_share=1.0,
            late_execution_delay_s=0.4,
            is_late_unanswered=True,
        )
        self.server = make_server(self.handle, self.faults, random.Random(1))
        await self.server.listen("127.0.0.1", 0)

    async def asyncTearDown(self):
        await self.server.close(0.0)

    async def handle(self, request, body):
        self.handled.append(time.monotonic())
        return json_answer(200)

    async def send(self):
        """Send a request that gets no answer; return when it was sent."""
        sent_s = time.monotonic()
        address = f"127.0.0.1:{self.server.port}"
        with self.assertRaisesRegex(ResponseLostError, "did not answer"):
            await fetch("POST", address, "/order", b"{}", timeout_s=0.2)
        return sent_s

    async def test_order_is_unanswered_and_carried_out_late(self):
        sent_s = await self.send()
        self.assertEqual(self.handled, [])
        await asyncio.sleep(0.4)
        [handled_s] = self.handled
        self.assertGreaterEqual(handled_s - sent_s, 0.4)

    async def test_order_is_not_carried_out_once_the_service_has_ended(self):
        await self.send()
        self.server.stop_listening()
        await asyncio.sleep(0.5)
        self.assertEqual(self.handled, [])


if __name__ == "__main__":
    unittest.main()
