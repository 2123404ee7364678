"""Test that data from others is refused in one way, at every border where it comes in.

The tests guard against an error that the reader does not expect, which would end it.
"""

import asyncio
import base64
import unittest

import msgspec

from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_daemon.worker_orders import OrderTarget, WorkerOrders
from bulrushspur_daemon.worker_watch import apply_entry
from bulrushspur_kernel import messages
from bulrushspur_kernel.adapter import (
    AdviceUnavailableError,
    IncarnationsUnavailableError,
    WorkerUnresponsiveError,
)
from bulrushspur_kernel.errors import BadSettingsError
from bulrushspur_kernel.http_client import HttpResponse, NotSentError
from bulrushspur_kernel.http_pool import make_http_pool
from bulrushspur_kernel.membership_records import decode_leader, decode_node
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.settings import parse_settings
from bulrushspur_kernel.store import StoredRecord, StoreUnavailableError
from bulrushspur_platform import callers, config, workers
from bulrushspur_platform.advice import request_advice
from bulrushspur_platform.discovery import decode_worker
from bulrushspur_platform.machines import list_incarnations
from bulrushspur_platform.store import LogStore
from bulrushspur_scheduler.config import Service, make_config
from bulrushspur_scheduler.job_specs import StepKey, TaskKey
from bulrushspur_scheduler.job_states import RunOutcome, RunState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.reports import apply_report
from bulrushspur_scheduler.workers import WorkerEntry, is_available
from tests.cell_fixtures import add_test_job, add_worker, make_test_cell
from tests.odd_entries import (
    DEEP_PACK,
    ODD_BODIES,
    list_odd_entries,
    list_odd_nodes,
    list_odd_packs,
    make_entry,
    make_numbers,
)


class FakePool:
    """Answers each request with the same body."""

    def __init__(self, body, status=200):
        self.response = HttpResponse(status, {}, body)

    async def request(self, *args, **fields):
        return self.response


class WorkerEntryTest(unittest.TestCase):
    def test_odd_entry_is_refused_with_a_reason(self):
        usable = {"unknown service"}
        usable |= {name for name in list_odd_entries() if name.endswith("_ms -1")}
        for name, data in list_odd_entries().items():
            with self.subTest(name):
                if name in usable:
                    decode_worker("w", data)
                    continue
                with self.assertRaises(ValueError):
                    decode_worker("w", data)

    def test_entry_without_fault_is_taken(self):
        for port in (1, 65_535):
            entry = decode_worker("w", make_entry(address=f"127.0.0.1:{port}"))
            self.assertEqual(entry.address, f"127.0.0.1:{port}")

    def test_id_that_cannot_be_sent_is_refused(self):
        for worker_id in ("", " w", "w ", "a\r\nb: c", "w\x00", "é", "w" * 300):
            with self.subTest(worker_id), self.assertRaises(ValueError):
                decode_worker(worker_id, make_entry())

    # Guards against: an entry of no known service ends the worker on its machine.
    def test_entry_of_an_unknown_service_ends_no_other_worker(self):
        cell = make_test_cell(0)
        cell.config = make_config(2, services=(Service("svc"),))
        worker = add_worker(cell, "w0", machine="m", incarnation_start_ms=5)
        for service, ended in (("other", False), ("svc", True)):
            capacity = worker.entry.capacity
            entry = WorkerEntry(
                service, service, "1.1.1.1:1", "z", capacity, (), "m", 9
            )
            apply_entry(cell, entry, 1.0, lambda worker: None)
            self.assertIs(worker.ended, ended)


class BodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_store_response_that_cannot_be_read_is_as_good_as_none(self):
        for body in ODD_BODIES:
            store = LogStore(FakePool(body), FakePool(body))
            with self.subTest(body[:20]):
                with self.assertRaises(StoreUnavailableError):
                    await store.read_newest("t")
                with self.assertRaises(StoreUnavailableError):
                    await store.append("t", [("k", b"v")])
        for body in (b"", b"\x00" * 15):
            store = LogStore(FakePool(body), FakePool(body))
            with self.assertRaises(StoreUnavailableError):
                await store.read("t", 0)

    async def test_record_that_is_cut_is_left_out(self):
        body = bytes(16) + (5).to_bytes(4, "big") + b"\x01kvvv"
        body += (500).to_bytes(4, "big") + b"\x01k"
        records, end = await LogStore(FakePool(body), FakePool(body)).read("t", 0)
        self.assertEqual(([record.value for record in records], end), ([b"vvv"], 1))

    async def test_value_that_is_no_base64_is_left_to_its_reader(self):
        value = base64.b64encode(b"good").decode()
        items = [("odd", "?"), ("good", value)]
        rows = [{"key": key, "offset": 1, "value": text} for key, text in items]
        body = msgspec.json.encode({"items": rows, "end": 2})
        newest, _ = await LogStore(FakePool(body), FakePool(body)).read_newest("t")
        self.assertEqual(newest["good"].value, b"good")

    # Guards against: a key that is no text ends the reading of all others.
    async def test_record_whose_key_is_no_text_hides_no_other(self):
        value = base64.b64encode(b"good").decode().encode()
        rows = (
            b'{"key":"a","offset":1,"value":"%b"}' % value,
            b'{"key":"\\udcff","offset":2,"value":""}',
            b'{"key":7,"offset":3,"value":""}',
            b'{"key":"z","offset":4,"value":"%b"}' % value,
        )
        body = b'{"items":[%b],"end":5}' % b",".join(rows)
        newest, end = await LogStore(FakePool(body), FakePool(body)).read_newest("t")
        self.assertEqual((sorted(newest), end), (["a", "z"], 5))

    async def test_other_services(self):
        for body in ODD_BODIES:
            pool = FakePool(body)
            client = workers.HttpWorkerClient("w", pool, pool)
            with self.subTest(body[:20]):
                with self.assertRaises(WorkerUnresponsiveError):
                    await client.renew_lease(None, 1, 0, 0)
                if body.startswith(b"{"):
                    continue
                with self.assertRaises(AdviceUnavailableError):
                    await request_advice(pool, StepKey("j", 0, 0), ["w"], 1.0)
                with self.assertRaises(IncarnationsUnavailableError):
                    await list_incarnations(pool)

    async def test_report_with_a_number_out_of_range_is_not_used(self):
        rows = [
            b'{"clock_ms":1,"running":[["j.0.0.0",%b,"",1]]}',
            b'{"clock_ms":1,"ended":[[%b,"j.0.0.0",1,"done",""]]}',
            b'{"clock_ms":1,"born":%b}',
            b'{"clock_ms":%b}',
        ]
        for row in rows:
            for number in make_numbers():
                pool = FakePool(row % number)
                client = workers.HttpWorkerClient("w", pool, pool)
                with (
                    self.subTest(row=row, number=number[:9]),
                    self.assertRaises(WorkerUnresponsiveError),
                ):
                    await client.renew_lease(None, 1, 0, 0)

    # Guards against: a run of another's ends the work of a whole worker.
    async def test_odd_row_of_a_report_hides_no_other(self):
        body = (
            b'{"clock_ms":1,"running":[["odd",1,"",1],["j.0.0.0",2,null,1.5,9]],'
            b'"ended":[[1,"j.0.0.x",1,"done",""],[2,"j.0.0.1",1,"evaporated",""]]}'
        )
        pool = FakePool(body)
        report = await workers.HttpWorkerClient("w", pool, pool).renew_lease(
            None, 1, 0, 0
        )
        self.assertEqual(report.running[1].key, TaskKey("j", 0, 0, 0))
        self.assertIs(report.ended[1].outcome, RunOutcome.UNKNOWN)
        cell = make_test_cell(1)
        apply_report(cell, cell.workers["w0"], report, 1.0)
        # All ends are acknowledged, or the worker would tell them at once each time.
        self.assertEqual(cell.workers["w0"].applied_end_sequence, 2)
        self.assertFalse(is_available(cell.workers["w0"], 1.0))

    async def test_address_that_cannot_exist_is_not_sent_to(self):
        for port in ("", "x", "99999", "9" * 5000, "-1"):
            with self.subTest(port[:9]), self.assertRaises(NotSentError):
                await make_http_pool(f"127.0.0.1:{port}").request("GET", "/")

    def test_job_of_a_caller_is_refused(self):
        for body in (*ODD_BODIES, b'{"steps":[{"count":' + b"9" * 400 + b"}]}"):
            with self.subTest(body[:20]), self.assertRaises(ValueError):
                callers.parse_job("a" * 16, body)

    def test_settings_are_refused(self):
        for body in ODD_BODIES:
            with self.subTest(body[:20]), self.assertRaises(BadSettingsError):
                parse_settings(body)

    def test_configuration_is_refused(self):
        for body in ODD_BODIES:
            records = {config.CONFIG_KEY: StoredRecord(1, config.CONFIG_KEY, body)}
            with self.subTest(body[:20]), self.assertRaises(ValueError):
                config.build_config(records, 1)


class RecordTest(unittest.TestCase):
    def test_odd_records_are_refused(self):
        decoders = (decode_node, decode_leader, messages.decode_message)
        for name, data in list_odd_packs().items():
            for decode in decoders:
                with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                    decode(data)
        for name, data in list_odd_nodes().items():
            if name.startswith("address"):
                continue
            with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                decode_node(data)

    def test_message_with_a_deep_field_is_refused(self):
        data = messages.encode_message(messages.Resign(1))
        data = bytes([data[0] + 1]) + data[1:] + DEEP_PACK
        with self.assertRaises(msgspec.DecodeError):
            messages.decode_message(data)


class OrderFaultTest(unittest.IsolatedAsyncioTestCase):
    # Guards against: a run whose order failed in an unexpected way waits for good.
    async def test_run_whose_order_has_a_fault_is_left_to_the_reports(self):
        class FaultyClient:
            async def start_run(self, *args):
                raise OverflowError

        cell = make_test_cell(1)
        job = add_test_job(cell)
        plan(cell, 0.1)
        (run,) = next(job.steps()).tasks[0].runs
        worker = cell.workers["w0"]
        # As if it had just reported.
        worker.last_report_s = asyncio.get_running_loop().time()
        target = OrderTarget(worker, FaultyClient(), OrderSlots(3))
        orders = WorkerOrders(
            cell, Metrics(), lambda: None, lambda: True, lambda _: target
        )
        orders.send_all()
        await asyncio.wait(list(orders.tasks))
        self.assertIs(run.state, RunState.UNCONFIRMED)
