"""Answer operators' requests: metrics as text, state and explanations as JSON."""

import typing as t

import msgspec

from bulrushspur_daemon.introspection import dump_process, explain_job
from bulrushspur_daemon.job_preview import answer_preview
from bulrushspur_kernel.http_exchange import Exchange, Request
from bulrushspur_scheduler.evacuation import count_runs

MAX_QUESTION_BYTES: t.Final = 262_144


async def handle_operator_request(
    process: t.Any, request: Request, exchange: Exchange
) -> None:
    """Answer a request of an operator; an unknown path or job gets status 404."""
    if request.path == "/metrics":
        headers = [(b"content-type", b"text/plain")]
        text = format_metrics(process).encode()
        await exchange.send_response(200, [text], headers)
    elif request.path in ("/status", "/dump"):
        await exchange.send_json(200, msgspec.json.encode(dump_process(process)))
    elif request.path == "/explain":
        explanation = explain_job(process, request.query.get("id", ""))
        status = 200 if explanation else 404
        await exchange.send_json(status, msgspec.json.encode(explanation))
    elif request.path == "/where":
        body = await request.read_full_body(MAX_QUESTION_BYTES)
        status, answer = answer_preview(process, body)
        await exchange.send_json(status, msgspec.json.encode(answer))
    else:
        await exchange.send_json(
            404, b'{"error":"see /metrics, /status, /explain?id=, /where"}'
        )


def format_metrics(process: t.Any) -> str:
    """Format counters, gauges and histograms, one value per line."""
    lines = []
    for name, value in sorted(process.metrics.counters.items()):
        lines.append(f"bulrushspur_{name}_total {value}")
    if process.term is not None:
        cell = process.term.cell
        for name, value in sorted(cell.counters.items()):
            lines.append(f"bulrushspur_scheduler_{name}_total {value}")
        lines.append(f"bulrushspur_jobs_active {len(cell.jobs)}")
        lines.append(f"bulrushspur_steps_waiting {len(cell.waiting_steps)}")
        lines.append(f"bulrushspur_workers {len(cell.workers)}")
        lateness_s = process.term.load_watch.load.lateness_s
        lines.append(f"bulrushspur_leader_lateness_s {lateness_s:.3f}")
        if cell.past_use is not None:
            for account, use_s in sorted(cell.past_use.use_s.items()):
                label = f'{{account="{account}"}}'
                level = cell.past_use.level_of(account)
                lines.append(f"bulrushspur_past_use_s{label} {use_s:.3f}")
                lines.append(f"bulrushspur_past_use_level{label} {level}")
        run_counts = count_runs(cell)
        lines.append(f"bulrushspur_evacuated_domains {len(run_counts)}")
        lines.append(
            f"bulrushspur_runs_in_evacuated_domains {sum(run_counts.values())}"
        )
        crash_counts = [task.crash_count for task in cell.suspects.values()]
        lines.append(f"bulrushspur_tasks_with_crashes {len(crash_counts)}")
        most_crashes = max(crash_counts, default=0)
        lines.append(f"bulrushspur_most_crashes_of_a_task {most_crashes}")
        for reason, wait_s in process.term.upkeep.wait_monitor.oldest_s.items():
            name = f"bulrushspur_oldest_wait_{reason.value}_s"
            lines.append(f"{name} {wait_s:.1f}")
    lines.append(f"bulrushspur_leads {int(process.term is not None)}")
    lines.append(f"bulrushspur_term {process.leader_client.term}")
    lines.append(f"bulrushspur_ready {int(process.is_ready())}")
    bodies = process.servers[0].limits.bodies
    lines.append(f"bulrushspur_body_bytes {bodies.held_bytes}")
    lines.append(f"bulrushspur_bodies_given_up_total {bodies.given_up_count}")
    lines.append(f"bulrushspur_log_lines_dropped {process.log.sink.dropped_lines}")
    for name, histogram in process.metrics.dump()["histograms_ms"].items():
        for statistic, value in histogram.items():
            unit = "" if statistic == "count" else "_ms"
            lines.append(f"bulrushspur_{name}_{statistic}{unit} {value}")
    return "\n".join(lines) + "\n"
