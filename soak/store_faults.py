"""Disrupt the store, and change what operators write there."""

import asyncio
import time
import typing as t

import msgspec

from soak.disruptions import STORE
from soak.recording import record_claims
from tests.cluster import CONFIG

if t.TYPE_CHECKING:
    from soak.run import Soak

DOMAINS: t.Final = ("north", "south")
EVACUATION_DURATION_S: t.Final = 11.0
# Links are blocked and processes suspended for about 4 s, and as long again may pass
# until a leader has taken over.
EVACUATION_BOUND_S: t.Final = 8.0
# By then all entry processes know a configuration, once the links work.
CONFIG_BOUND_S: t.Final = 3.0


async def inject_store_fault(soak: "Soak") -> None:
    """Make the store answer 503, or lose part of its answers, for a random time."""
    faults = soak.cluster.store.faults
    if faults.forced_status or faults.lost_answer_share:
        return
    soak.log_fault("store")
    with soak.disruptions.record("store", STORE):
        if soak.rng.random() < 0.5:
            faults.forced_status = 503
        else:
            faults.lost_answer_share = 0.4
        await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
        faults.forced_status, faults.lost_answer_share = 0, 0.0


async def compact_store(soak: "Soak") -> None:
    """Make the store drop all records but the newest of each key."""
    soak.log_fault("store compacted")
    record_claims(soak)
    soak.cluster.store.compact("keyed.op")
    soak.cluster.store.compact("keyed.cell")


async def evacuate_domain(soak: "Soak") -> None:
    """Evacuate a failure domain and restore it, unless one is or the run ends soon."""
    now_s = time.monotonic()
    is_evacuated = any(until_s > now_s for _, _, until_s in soak.evacuations)
    if is_evacuated or now_s > soak.evacuations_until_s:
        return
    domain = soak.rng.choice(DOMAINS)
    until_s = now_s + EVACUATION_DURATION_S
    soak.evacuations.append((domain, now_s + EVACUATION_BOUND_S, until_s))
    soak.log_fault(f"evacuate {domain}")
    soak.cluster.store.put("keyed.op", f"evacuate/{domain}", b"{}")
    await asyncio.sleep(EVACUATION_DURATION_S)
    soak.cluster.store.put("keyed.op", f"evacuate/{domain}", b"")


async def remove_queue(soak: "Soak") -> None:
    """Publish a configuration without a queue, and then the whole one again."""
    if soak.lacks_queue:
        return
    soak.lacks_queue = True
    name = soak.rng.choice([row["name"] for row in CONFIG["routes"]])
    soak.log_fault(f"no queue {name}")
    _publish(soak, [row for row in CONFIG["routes"] if row["name"] != name])
    await asyncio.sleep(soak.rng.uniform(1.0, 4.0))
    _publish(soak, CONFIG["routes"])
    await asyncio.sleep(CONFIG_BOUND_S)
    soak.lacks_queue = False


def _publish(soak: "Soak", routes: list[dict[str, t.Any]]) -> None:
    soak.config_version += 1
    config = {**CONFIG, "version": soak.config_version, "routes": routes}
    soak.cluster.store.put("keyed.op", "config", msgspec.json.encode(config))
