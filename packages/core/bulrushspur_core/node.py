"""The decision code of one entry process: state of its parts, and dispatch to them.

A part is a module that registers itself here: a factory of its state, handlers of
messages, events and signals, and timers. No part touches a socket or reads a clock:
each handler is given the time and emits effects. The daemon, the fuzzer and the bench
all drive this same object.
"""

import collections
import dataclasses
import random
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_kernel import plugins
from bulrushspur_kernel.messages import Member, Message
from bulrushspur_kernel.metrics import Metrics

S = t.TypeVar("S")
F = t.TypeVar("F", bound=t.Callable[..., t.Any])

_STATE: t.Final = "core.state"
_HANDLER: t.Final = "core.handler"
_TIMER: t.Final = "core.timer"

SELF_SENDS_AT_MOST: t.Final = 10_000


@dataclasses.dataclass(frozen=True)
class Me:
    """Who this process is and where it is reached.

    ``boot`` is greater (longer, or of the same length and later in order) than that of
    any earlier incarnation of the name.
    """

    name: str
    boot: str
    domain: str
    region: str = ""
    address: str = ""
    operators_address: str = ""

    @property
    def member(self) -> Member:
        """Give name and incarnation."""
        return Member(self.name, self.boot)


@dataclasses.dataclass
class Node:
    """State of all parts of one process, and the effects that wait to be done."""

    me: Me
    rng: random.Random
    seeds: dict[str, str]
    wall_offset_s: float = 0.0
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
    states: dict[type, t.Any] = dataclasses.field(default_factory=dict)
    outbox: list[fx.Effect] = dataclasses.field(default_factory=list)
    due_s: dict[str, float] = dataclasses.field(default_factory=dict)
    tokens: int = 0

    def state(self, cls: type[S]) -> S:
        """Return the state of a part by its class."""
        return self.states[cls]

    def send(self, to: str, message: Message) -> None:
        """Emit a message to a process; one to itself stays inside."""
        self.outbox.append(fx.Send(to, message))

    def emit(self, effect: fx.Effect) -> None:
        """Emit an effect."""
        self.outbox.append(effect)

    def wall_s(self, now_s: float) -> float:
        """Turn monotonic seconds into seconds since 1970."""
        return now_s + self.wall_offset_s

    def make_token(self) -> str:
        """Make a token that no other process or incarnation makes."""
        self.tokens += 1
        return f"{self.me.name}/{self.me.boot}/{self.tokens}"

    def signal(self, event: t.Any, now_s: float) -> None:
        """Give an event or signal to each part that handles it."""
        for handler in _handlers().get(type(event), ()):
            handler(self, event, now_s)

    def handle(self, event: t.Any, now_s: float) -> list[fx.Effect]:
        """Handle an event from outside and return the effects."""
        self.signal(event, now_s)
        return self.drain(now_s)

    def receive(
        self, sender: Member, message: Message, now_s: float
    ) -> list[fx.Effect]:
        """Handle a message of a peer and return the effects."""
        self._deliver(sender, message, now_s)
        return self.drain(now_s)

    def run_timers(self, now_s: float) -> list[fx.Effect]:
        """Run the timers that are due and return the effects."""
        for name, (period_s, callback) in plugins.entries(_TIMER).items():
            due_s = self.due_s.get(t.cast(str, name))
            if due_s is None or now_s >= due_s:
                self.due_s[t.cast(str, name)] = now_s + period_s
                callback(self, now_s)
        return self.drain(now_s)

    def _deliver(self, sender: Member, message: Message, now_s: float) -> None:
        for handler in _handlers().get(type(message), ()):
            handler(self, sender, message, now_s)

    def drain(self, now_s: float) -> list[fx.Effect]:
        """Deliver messages to itself, then return the effects that are left."""
        rv: list[fx.Effect] = []
        queue = collections.deque(self.outbox)
        self.outbox = []
        for _ in range(SELF_SENDS_AT_MOST):
            if not queue:
                return rv
            effect = queue.popleft()
            if isinstance(effect, fx.Send) and effect.to == self.me.name:
                self._deliver(self.me.member, effect.message, now_s)
                queue.extend(self.outbox)
                self.outbox = []
            else:
                rv.append(effect)
        raise RuntimeError("a process sends to itself without end")


def register_state(cls: type[S]) -> t.Callable[[F], F]:
    """Register ``factory(node)`` of the state of a part."""
    return plugins.register(_STATE, cls)


def on(cls: type) -> t.Callable[[F], F]:
    """Register a handler of a message, event or signal.

    A message is handled as ``(node, sender, message, now_s)``, anything else as
    ``(node, event, now_s)``.
    """

    def decorate(func: F) -> F:
        _handlers.cache = None  # type: ignore[attr-defined]
        return plugins.register(_HANDLER, (cls, func.__module__, func.__name__))(func)

    return decorate


def every(period_s: float) -> t.Callable[[F], F]:
    """Register a timer ``(node, now_s)`` with its period in seconds."""

    def decorate(func: F) -> F:
        name = f"{func.__module__}.{func.__name__}"
        plugins.register(_TIMER, name)((period_s, func))
        return func

    return decorate


def _handlers() -> dict[type, list[t.Callable[..., None]]]:
    cache = getattr(_handlers, "cache", None)
    if cache is None:
        cache = {}
        for key, func in plugins.entries(_HANDLER).items():
            cache.setdefault(t.cast(tuple, key)[0], []).append(func)
        _handlers.cache = cache  # type: ignore[attr-defined]
    return cache


def make_node(
    me: Me, seed: int, seeds: dict[str, str], wall_offset_s: float = 0.0
) -> Node:
    """Make the decision code of one process; ``seeds`` maps peers to addresses."""
    node = Node(me, random.Random(seed), dict(seeds), wall_offset_s)
    for cls, factory in plugins.entries(_STATE).items():
        node.states[t.cast(type, cls)] = factory(node)
    return node
