"""Delay, cut, reset and silence links: to the store, the workers and from clients."""

import asyncio
import typing as t

from soak.proxy import FaultProxy, LinkFault

if t.TYPE_CHECKING:
    from soak.run import Soak

MIN_FAULT_S: t.Final = 0.3
MAX_FAULT_S: t.Final = 4.0


def _list_proxies(soak: "Soak") -> list[list[FaultProxy]]:
    return [soak.store_proxies, soak.worker_proxies, soak.caller_proxies]


def _draw_proxy(soak: "Soak") -> FaultProxy:
    """Draw a proxy; each kind of link is as likely as the others."""
    return soak.rng.choice(soak.rng.choice(_list_proxies(soak)))


async def _disturb_link(
    soak: "Soak", proxy: FaultProxy, fault: LinkFault, duration_s: float
) -> None:
    """Put a link under a fault; reset its connections at the end or leave them open."""
    if proxy.fault is not LinkFault.NONE or proxy.name in soak.reserved_links:
        return
    soak.log_fault(f"{fault.value} on the {proxy.name}")
    with soak.disruptions.record(fault.value, proxy.name):
        proxy.fault = fault
        await asyncio.sleep(duration_s)
        if soak.rng.random() < 0.5:
            proxy.reset()
        proxy.fault = LinkFault.NONE


async def inject_link_fault(soak: "Soak") -> None:
    """Delay or block a link for a random time."""
    fault = soak.rng.choice(list(LinkFault)[1:])
    duration_s = soak.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    await _disturb_link(soak, _draw_proxy(soak), fault, duration_s)


async def cut_several_workers(soak: "Soak") -> None:
    """Block the links to several workers at once, one way or both ways."""
    count = soak.rng.randint(2, max(len(soak.worker_proxies) // 2, 2))
    proxies = soak.rng.sample(soak.worker_proxies, count)
    fault = soak.rng.choice(
        (LinkFault.BLOCK_BOTH, LinkFault.BLOCK_REQUESTS, LinkFault.BLOCK_ANSWERS)
    )
    duration_s = soak.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    async with asyncio.TaskGroup() as group:
        for proxy in proxies:
            group.create_task(_disturb_link(soak, proxy, fault, duration_s))


async def cut_clients(soak: "Soak") -> None:
    """Block the link from clients to one entry process, one way or both ways."""
    proxy = soak.rng.choice(soak.caller_proxies)
    fault = soak.rng.choice(
        (LinkFault.BLOCK_BOTH, LinkFault.BLOCK_REQUESTS, LinkFault.BLOCK_ANSWERS)
    )
    duration_s = soak.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    await _disturb_link(soak, proxy, fault, duration_s)


async def reset_link(soak: "Soak") -> None:
    """Reset all connections of one link."""
    proxy = _draw_proxy(soak)
    soak.log_fault(f"reset of the {proxy.name}")
    soak.disruptions.record_moment("reset", proxy.name)
    proxy.reset()


async def silence_link(soak: "Soak") -> None:
    """Silence the open connections of one link for good; new ones work."""
    proxy = _draw_proxy(soak)
    if proxy.name in soak.reserved_links:
        return
    soak.log_fault(f"open connections of the {proxy.name} silent")
    soak.disruptions.record_moment("silent connections", proxy.name)
    proxy.silence()
