"""Answers that callers ask for later, kept within bounds."""

import dataclasses
import typing as t

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.settings import Bounds
from bulrushspur_kernel.states import RequestState

# All kept answers together may take this many times the largest one.
TOTAL_ANSWERS: t.Final = 32


@dataclasses.dataclass
class KeptAnswer:
    """How a request ended; ``refusal`` stands where there is no answer."""

    request_id: str
    team: str
    state: RequestState
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    refusal: Refusal | None = None


@dataclasses.dataclass
class KeptAnswers:
    """Ended requests by id, the oldest first."""

    bounds: Bounds
    by_id: dict[str, KeptAnswer] = dataclasses.field(default_factory=dict)
    total_bytes: int = 0

    def keep(self, answer: KeptAnswer) -> None:
        """Keep an answer and drop the oldest ones beyond the bounds."""
        self.drop(answer.request_id)
        self.by_id[answer.request_id] = answer
        self.total_bytes += len(answer.body)
        most_bytes = self.bounds.kept_answer_bytes * TOTAL_ANSWERS
        while (
            len(self.by_id) > self.bounds.kept_answers or self.total_bytes > most_bytes
        ):
            self.drop(next(iter(self.by_id)))

    def drop(self, request_id: str) -> None:
        """Forget an answer."""
        answer = self.by_id.pop(request_id, None)
        if answer is not None:
            self.total_bytes -= len(answer.body)
