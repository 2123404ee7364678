"""Who may ask for what: keys, teams, services and kinds of the text in force."""

import hmac
import typing as t

from bulrushspur_core.log_reader import cell_of, check_keys
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_exchange import HttpError, Request
from bulrushspur_kernel.keys import hash_key, split_key
from bulrushspur_kernel.text import Kind, Service

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

SCHEME: t.Final = "Bearer "
NO_HASH: t.Final = "0" * 64
TEXT_AWAITED_S: t.Final = 5.0


def find_team(process: "Process", request: Request, open_kind: bool = False) -> str:
    """Find the team of the key of a request; raises HttpError."""
    cell = cell_of(process.node)
    given = request.headers.get("authorization", "")
    if not given and open_kind and cell.text is not None:
        return cell.text.policy.open_team
    if not given.startswith(SCHEME):
        sentence = "Header Authorization is missing: send Bearer and the team's key."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_KEY, sentence))
    check_keys_fresh(process)
    token = given.removeprefix(SCHEME).strip()
    parts = split_key(token)
    key = cell.keys.get(parts[0]) if parts else None
    # A key that is not known costs the same comparison as one that is.
    known_hash = key.key_hash if key is not None else NO_HASH
    same = hmac.compare_digest(known_hash.encode(), hash_key(token).encode())
    if key is None or not same:
        sentence = "The key is not known, or was withdrawn."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_KEY, sentence))
    return key.team


def check_keys_fresh(process: "Process") -> None:
    """Refuse keyed work when a withdrawal may have gone unheard for too long."""
    if cell_of(process.node).text is None:
        sentence = "No text is in force yet."
        raise HttpError(Refusal(ErrorKind.NO_TEXT, sentence, Ran.NO, TEXT_AWAITED_S))
    refusal = check_keys(process.node, process.timers.clock())
    if refusal is not None:
        raise HttpError(refusal)


def find_kind(process: "Process", service: str, kind: str) -> tuple[Service, Kind]:
    """Find a kind of a service in the text in force; raises HttpError."""
    text = cell_of(process.node).text
    if text is None:
        sentence = "No text is in force yet."
        raise HttpError(Refusal(ErrorKind.NO_TEXT, sentence, Ran.NO, TEXT_AWAITED_S))
    found = text.find_service(service)
    if found is None:
        sentence = f"There is no service {service}."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_SERVICE, sentence))
    found_kind = text.find_kind(service, kind)
    if found_kind is None:
        sentence = f"Service {service} has no kind {kind}."
        raise HttpError(Refusal(ErrorKind.UNKNOWN_KIND, sentence))
    return found, found_kind
