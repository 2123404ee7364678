"""Make the refusals of the HTTP server itself.

None of their requests has run, but for one that was interrupted.
"""

import typing as t

import h11

from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal

# When a request that was refused for others, or at a stop, may come again.
OVERLOAD_RETRY_AFTER_S: t.Final = 1.0


def make_slow_sender_refusal(timeout_s: float) -> Refusal:
    """Make the refusal for a caller that sent nothing for ``timeout_s`` seconds."""
    return Refusal(ErrorKind.SLOW_SENDER, f"Nothing came for {timeout_s:g} s.")


def make_no_memory_refusal() -> Refusal:
    """Make the refusal for a body that has no room beside the others."""
    return Refusal(
        ErrorKind.NO_MEMORY,
        "The bodies of other requests leave no room for this one.",
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def make_stopping_refusal() -> Refusal:
    """Make the refusal for a request that is incomplete when the server closes."""
    return Refusal(
        ErrorKind.STOPPING,
        "The server stops; the rest of the request did not come.",
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def make_interrupted_refusal() -> Refusal:
    """Make the refusal for a request that is handled while the server closes."""
    return Refusal(
        ErrorKind.INTERRUPTED,
        "The server stops; the request may have run.",
        Ran.MAYBE,
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def make_malformed_refusal(exc: h11.RemoteProtocolError) -> Refusal:
    """Make the refusal for input that is not valid HTTP."""
    if exc.error_status_hint == 431:
        return Refusal(ErrorKind.HEAD_TOO_LARGE, "The head is too large.")
    return Refusal(ErrorKind.BAD_REQUEST, f"This is no valid HTTP request: {exc}.")


def make_too_many_connections_refusal(max_connections: int) -> Refusal:
    """Make the refusal for a connection beside which there are too many others."""
    return Refusal(
        ErrorKind.TOO_MANY_CONNECTIONS,
        f"There are {max_connections} connections already.",
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )
