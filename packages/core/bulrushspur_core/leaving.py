"""Graceful stop of this process: what it owns is handed over before it goes."""

from bulrushspur_core import events
from bulrushspur_core.membership import Members, live_in_domain, send_heartbeats
from bulrushspur_core.node import Node, on
from bulrushspur_core.workers import Workers


@on(events.StopAsked)
def on_stop_asked(node: Node, event: events.StopAsked, now_s: float) -> None:
    """Tell the peers at once, so that the next roster is without this process."""
    node.state(Members).stopping = True
    send_heartbeats(node, now_s)


def is_handed_over(node: Node) -> bool:
    """Tell whether this process owns nothing that another one could take."""
    owned = any(view.owned for view in node.state(Workers).views.values())
    return not owned or not live_in_domain(node)
