"""Tests of reading the platform's list of VMs."""

import asyncio
import unittest

from bulrushspur_kernel.http_client import fetch, traffic_bytes
from bulrushspur_kernel.http_server import make_http_server
from bulrushspur_kernel.platform_log import VmList, refresh_vms
from bulrushspur_kernel.settings import Bounds
from bulrushspur_standins.platform import Platform, make_handler


class VmListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        handler = make_handler(Platform(60.0, 100.0, credit=100.0))
        self.server = make_http_server(handler, None, Bounds())
        await self.server.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"

    async def asyncTearDown(self):
        await self.server.close(0.1)

    async def put(self, name):
        vm = (
            b'{"name":"%s","role":"worker","domain":"north","address":"x"}'
            % name.encode()
        )
        await fetch("PUT", self.address, f"/vms/{name}", vm)
        await asyncio.sleep(0.01)

    async def test_list_travels_only_when_it_changed(self):
        for i in range(50):
            await self.put(f"w{i}")
        known = await refresh_vms(self.address, 2.0, VmList([]))
        before = traffic_bytes[self.address]
        again = await refresh_vms(self.address, 2.0, known)
        self.assertIs(again, known)
        self.assertLess(traffic_bytes[self.address] - before, 500)
        await self.put("w50")
        newer = await refresh_vms(self.address, 2.0, known)
        self.assertEqual(len(newer.vms), 51)
