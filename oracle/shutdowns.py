"""Define what clients see of entry processes that stop: requests, and their ends.

What has not happened yet has an infinite time, in seconds.
"""

import dataclasses
import math


@dataclasses.dataclass(eq=False)
class EntryRequest:
    """A request on one connection to an entry process.

    ``status`` is None unless a whole answer came; ``ended_s`` is when it did, or when
    the connection ended or the client closed it.
    """

    entry: str
    # As method, target and how it was sent.
    description: str
    # When the client does not want the answer any more.
    deadline_s: float = math.inf
    # When the last byte was sent.
    sent_s: float = math.inf
    ended_s: float = math.inf
    status: int | None = None


@dataclasses.dataclass(eq=False)
class Shutdown:
    """A stop of an entry process: when SIGTERM was sent, and when it was gone."""

    entry: str
    signaled_s: float
    gone_s: float = math.inf
