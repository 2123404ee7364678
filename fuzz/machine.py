"""A rule-based state machine: callers, operators and faults, in any order."""

import collections
import typing as t

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from bulrushspur_core import events
from bulrushspur_core.door import Door
from bulrushspur_core.ids import make_id
from bulrushspur_core.log_reader import cell_of
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.text import convert_text
from bulrushspur_kernel.work import Room, Work
from fuzz.log import LIST_LAG_S
from fuzz.oracle import CONFIG_BOUND_S, KEY_BOUND_S, LEAVING_BOUND_S
from fuzz.world import BODY_WAIT_S, TRANSIT_MAX_S, Slot, World, make_world

DOMAINS: t.Final = ("north", "south")
NAMES: t.Final = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
WORKERS: t.Final = {"wn1": "north", "wn2": "north", "ws1": "south", "ws2": "south"}
WORKER_ROOM: t.Final = Room(3, 4.0, 8_000, 1)
SETTLE_S: t.Final = 45.0
STEPS_AN_EXAMPLE: t.Final = 60
NEVER: t.Final = float("inf")
STEP_TIMES_S: t.Final = (0.0, 0.002, 0.05, 0.3, 1.0)

# Totals over all examples, printed by fuzz.run.
totals: collections.Counter[str] = collections.Counter()


def make_text(limit_a: int, limit_b: int) -> dict[str, t.Any]:
    """Make a text with two teams and a kind of each size."""
    kinds = [
        {"name": "small", "size": "small", "run_time_s": 0.2, "cores": 0.5},
        {"name": "middling", "size": "middling", "run_time_s": 2.0, "cores": 1.0},
        {"name": "heavy", "size": "heavy", "run_time_s": 8.0, "cores": 2.0,
         "memory_mb": 4000, "slots": 2},
        {"name": "huge", "size": "heavy", "cores": 64.0},
    ]  # fmt: skip
    return {
        "cell": "fuzz",
        "domains": [{"name": one, "region": "region"} for one in DOMAINS],
        "teams": [
            {"name": "a", "share": 2, "limit_tasks": limit_a, "queue_requests": 50},
            {"name": "b", "share": 1, "limit_tasks": limit_b, "queue_requests": 50},
        ],
        "services": [{"name": "coursework", "team": "a", "kinds": kinds}],
        "policy": {"keys_fresh_s": 120.0, "ids_kept_s": 300.0},
    }


class CellMachine(RuleBasedStateMachine):
    """Two failure domains with two processes and two workers each."""

    world: World
    steps = 0

    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        """Start the cell and let it settle."""
        self.world = make_world(seed)
        self.ids: list[str] = []
        self.texts: dict[int, tuple[float, dict[str, int]]] = {}
        self.withdrawn: dict[str, float] = {}
        self.keys: dict[str, str] = {}
        self.oldest: list[tuple[float, int]] = []
        self.reached_s: dict[str, float] = {}
        self.world.limit_of = self.limit_of
        for name, domain in WORKERS.items():
            self.world.add_worker(name, domain, f"rack-{name}", WORKER_ROOM)
        for name, domain in NAMES.items():
            self.world.boot(name, domain)
        self.publish(6, 5, 0)
        self.give("a")
        self.run_for(10.0)

    # What the oracle needs to know.

    def limit_of(self, team: str) -> int:
        """Give the highest limit that may still be in force anywhere.

        A start that was decided under a limit may wait for its body a while.
        """
        since_s = self.world.now_s - BODY_WAIT_S - TRANSIT_MAX_S
        oldest = 0
        for at_s, version in self.oldest:
            if at_s <= since_s:
                oldest = version
        return max(
            (limits[team] for v, (_, limits) in self.texts.items() if v >= oldest),
            default=0,
        )

    def check_reached(self) -> None:
        """Check that texts and withdrawals reach whoever could read the log."""
        now_s = self.world.now_s
        newest = max(self.texts, default=0)
        seen = [cell_of(s.node).version for s in self.world.slots.values() if s.alive]
        oldest = min((one for one in seen if one), default=0)
        if oldest and (not self.oldest or self.oldest[-1][1] != oldest):
            self.oldest.append((now_s, oldest))
        for slot in self.world.slots.values():
            reaches = slot.alive and not slot.paused
            if not reaches or not self.world.reaches_platform(slot):
                self.reached_s.pop(slot.name, None)
                continue
            since_s = self.reached_s.setdefault(slot.name, now_s)
            for name, worker in self.world.workers.items():
                known_s = max((worker.leaving_s or NEVER) + LIST_LAG_S, since_s)
                if now_s > known_s + LEAVING_BOUND_S:
                    slot.avoids.add(name)
            cell = cell_of(slot.node)
            if newest:
                from_s = max(self.texts[newest][0], since_s)
                if now_s > from_s + CONFIG_BOUND_S and cell.version != newest:
                    self.world.oracle.fail(
                        "config", f"{slot.name} has {cell.version}, not {newest}"
                    )
            for key_id, at_s in self.withdrawn.items():
                late = now_s > max(at_s, since_s) + KEY_BOUND_S
                if late and key_id in cell.keys:
                    self.world.oracle.fail("key", f"{slot.name} still takes {key_id}")

    def slot(self, index: int) -> Slot:
        """Pick an entry VM."""
        return self.world.slots[list(NAMES)[index % len(NAMES)]]

    def count(self, fault: str) -> None:
        """Count a fault that was brought about."""
        self.world.faults[fault] += 1
        self.world.note(fault)

    # Time.

    def step(self) -> None:
        """Count a step and let a little time pass before it."""
        self.steps += 1
        self.run_for(self.world.rng.choice(STEP_TIMES_S))

    @rule(duration_s=st.sampled_from([0.05, 0.3, 1.0, 3.0, 6.0]))
    def pass_time(self, duration_s: float) -> None:
        """Let time pass."""
        self.steps += 1
        self.run_for(duration_s)

    def run_for(self, duration_s: float) -> None:
        """Let time pass and check what must reach everybody."""
        left_s = duration_s
        while left_s > 0:
            self.world.advance(min(left_s, 0.5))
            left_s -= 0.5
            self.check_reached()

    # Callers.

    def submit_one(
        self, door: int, team: str, kind: str, request_id: str, idempotent: bool,
        deadline_s: float,
    ) -> None:  # fmt: skip
        """Submit one request at a door, if it is up and knows the kind."""
        slot = self.slot(door)
        text = cell_of(slot.node).text
        found = text.find_kind("coursework", kind) if text is not None else None
        if not slot.alive or slot.paused or found is None:
            return
        work = Work(
            request_id, team, "coursework", kind, found.policy, found.size, idempotent,
            deadline_s, found.run_time_s, found.room,
        )  # fmt: skip
        self.world.submit(slot, work)

    @rule(
        door=st.integers(0, 3),
        team=st.sampled_from("ab"),
        kind=st.sampled_from(["small", "middling", "heavy", "huge"]),
        count=st.sampled_from([1, 1, 3, 12]),
        deadline_s=st.sampled_from([0.5, 5.0, 30.0]),
    )
    def submit(
        self, door: int, team: str, kind: str, count: int, deadline_s: float
    ) -> None:
        """Submit idempotent requests."""
        self.step()
        for _ in range(count):
            request_id = f"free-{len(self.world.oracle.tickets)}"
            self.submit_one(door, team, kind, request_id, True, deadline_s)

    @rule(
        door=st.integers(0, 3),
        team=st.sampled_from("ab"),
        kind=st.sampled_from(["small", "middling"]),
        count=st.sampled_from([1, 2, 5]),
    )
    def submit_once(self, door: int, team: str, kind: str, count: int) -> None:
        """Submit requests that must run at most once."""
        self.step()
        slot = self.slot(door)
        for _ in range(count):
            if slot.alive and not slot.paused:
                request_id = make_id(slot.node, self.world.now_s)
                self.ids.append(request_id)
                self.submit_one(door, team, kind, request_id, False, 20.0)

    @precondition(lambda self: self.ids)
    @rule(door=st.integers(0, 3), pick=st.integers(0, 7))
    def ask_again(self, door: int, pick: int) -> None:
        """Submit an id again, through whatever door."""
        self.step()
        request_id = self.ids[-1 - pick % len(self.ids)]
        self.submit_one(door, "a", "small", request_id, False, 20.0)

    @rule(door=st.integers(0, 3), every=st.sampled_from([1, 2, 5]))
    def cancel(self, door: int, every: int) -> None:
        """Cancel many open requests of a door."""
        self.step()
        slot = self.slot(door)
        if slot.alive and not slot.paused:
            for ticket in list(slot.node.state(Door).open)[::every]:
                self.world.handle(slot, events.CancelAsked(ticket))

    # Operators.

    @rule(
        limit_a=st.integers(1, 9), limit_b=st.integers(1, 9), rivals=st.integers(0, 1)
    )
    def publish(self, limit_a: int, limit_b: int, rivals: int) -> None:
        """Publish a text, and perhaps another one from the same version."""
        self.step()
        if self.world.log.down:
            return
        base = max(self.texts, default=0)
        for rival in range(rivals + 1):
            limits = {"a": limit_a, "b": limit_b + rival}
            record = rec.Published(base, make_text(limits["a"], limits["b"]))
            assert convert_text(record.text).is_ok()
            offset = self.world.log.append(record, self.world.now_s)
            if rival == 0:
                self.texts[offset + 1] = (self.world.now_s, limits)
                self.count("limits published")
            else:
                self.count("operators raced")

    @rule(team=st.sampled_from("ab"))
    def give(self, team: str) -> None:
        """Give a key."""
        self.step()
        if not self.world.log.down:
            key_id = f"k{len(self.keys)}"
            self.keys[key_id] = team
            self.world.log.append(rec.KeyGiven(key_id, team, "h"), self.world.now_s)

    @precondition(lambda self: self.keys)
    @rule(pick=st.integers(0, 7))
    def withdraw(self, pick: int) -> None:
        """Withdraw a key."""
        self.step()
        if not self.world.log.down:
            key_id = sorted(self.keys)[pick % len(self.keys)]
            self.withdrawn.setdefault(key_id, self.world.now_s)
            self.world.log.append(rec.KeyWithdrawn(key_id), self.world.now_s)
            self.count("key withdrawn")

    # Faults of processes.

    @rule(index=st.integers(0, 3), for_s=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def pause(self, index: int, for_s: float) -> None:
        """Pause a process for a while."""
        self.step()
        slot = self.slot(index)
        if slot.alive and not slot.paused:
            self.count("paused")
            self.world.note(f"it is {slot.name} for {for_s}")
            slot.paused = True
            self.world.later(for_s, lambda: self.world.resume(slot))

    @rule(index=st.integers(0, 3), again=st.sampled_from([None, 0.0, 1.0, 8.0]))
    def kill(self, index: int, again: float | None) -> None:
        """Kill a process, and perhaps start another one at its address."""
        self.step()
        slot = self.slot(index)
        if not slot.alive:
            return
        self.count("killed")
        self.world.note(f"it is {slot.name}")
        slot.alive = False
        self.reached_s.pop(slot.name, None)
        if again is None:
            self.world.log.set_vm(None, slot.name, self.world.now_s)
        else:
            self.world.later(again, lambda: self.replace(slot.name))

    def replace(self, name: str) -> None:
        """Start a process on an entry VM whose process is dead."""
        if not self.world.slots[name].alive:
            self.world.note(f"{name} is replaced")
            self.reached_s.pop(name, None)
            self.world.boot(name, NAMES[name])

    @rule(index=st.integers(0, 3))
    def boot(self, index: int) -> None:
        """Start a process where there is none."""
        self.step()
        self.replace(self.slot(index).name)

    @rule(index=st.integers(0, 3))
    def stop(self, index: int) -> None:
        """Stop a process gracefully."""
        self.step()
        slot = self.slot(index)
        if slot.alive and slot.stopping_s is None:
            self.count("stopped gracefully")
            slot.stopping_s = self.world.now_s
            self.world.handle(slot, events.StopAsked())

    # Faults of network and platform.

    @rule(domain=st.sampled_from(DOMAINS), platform=st.booleans(), peers=st.booleans())
    def cut(self, domain: str, platform: bool, peers: bool) -> None:
        """Cut a domain off."""
        self.step()
        if platform:
            self.world.cut_platform.add(domain)
            self.count("cut off from the platform")
        if peers:
            self.world.cut_domains.add(domain)
            self.count("cut off from other domains")

    @rule()
    def heal(self) -> None:
        """Heal all cuts."""
        self.step()
        self.world.note("healed")
        self.world.cut_domains.clear()
        self.world.cut_platform.clear()

    @rule(down=st.booleans(), lose=st.booleans())
    def trouble_platform(self, down: bool, lose: bool) -> None:
        """Take the platform down or up, and let it lose answers."""
        self.step()
        self.world.log.down = down
        self.world.log.lose_answers = lose
        if down:
            self.count("platform down")
        if lose:
            self.count("append answers lost")

    # Faults of workers.

    @rule(name=st.sampled_from(sorted(WORKERS)))
    def leave(self, name: str) -> None:
        """Let the platform list a worker as leaving."""
        self.step()
        worker = self.world.workers[name]
        if worker.leaving_s is None and not worker.down and not self.world.log.down:
            self.count("worker leaving")
            self.world.note(f"it is {name}")
            worker.vm.leaving = True
            worker.leaving_s = self.world.now_s
            self.world.log.set_vm(worker.vm, name, self.world.now_s)

    @rule(name=st.sampled_from(sorted(WORKERS)), fails_all=st.booleans())
    def trouble_worker(self, name: str, fails_all: bool) -> None:
        """Take a worker down, or let it fail everything."""
        self.step()
        worker = self.world.workers[name]
        if fails_all:
            self.count("worker fails everything")
            worker.fails_all = True
        elif not worker.down:
            self.count("worker down")
            worker.down = True
            worker.running.clear()
            self.world.log.set_vm(None, name, self.world.now_s)

    @rule(name=st.sampled_from(sorted(WORKERS)))
    def mend_worker(self, name: str) -> None:
        """Replace a worker by a new VM of that name."""
        self.step()
        worker = self.world.workers[name]
        if worker.down or worker.fails_all or worker.vm.leaving:
            worker.running.clear()
            self.world.note(f"{name} is replaced")
            for slot in self.world.slots.values():
                slot.avoids.discard(name)
            self.world.add_worker(name, WORKERS[name], f"rack-{name}", WORKER_ROOM)

    def teardown(self) -> None:
        """Heal everything and check that nobody was left without an end."""
        if hasattr(self, "world"):
            totals["examples"] += 1
            totals["steps"] += self.steps
            for fault, count in self.world.faults.items():
                totals[f"fault {fault}"] += count
            for told in self.world.oracle.tickets.values():
                totals[f"told {told.final.partition(',')[0] or 'nothing yet'}"] += 1
                totals["started"] += told.starts
            if self.world.oracle.failed:
                return
            self.world.cut_domains.clear()
            self.world.cut_platform.clear()
            self.world.log.down = self.world.log.lose_answers = False
            for slot in list(self.world.slots.values()):
                if slot.paused:
                    self.world.resume(slot)
            self.run_for(SETTLE_S)
