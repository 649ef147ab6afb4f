"""Log lines about calls of a node that stops."""

import structlog

from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.stops import StopSchedule

log = structlog.get_logger("egress")


def log_late_send(call: Call, schedule: StopSchedule, now: float) -> None:
    """Logs a call that is sent after the node has stopped serving as usual."""
    if now < schedule.serves_until:
        return
    log.info(
        "call.sent_late",
        request=call.attempt,
        route=call.target.name,
        peer=call.peer.name,
        sub_call=call.is_sub_call,
        repeatable=call.repeatable,
        received_s=round(call.request.received_at - schedule.serves_until, 3),
        sent_s=round(now - schedule.serves_until, 3),
        left_s=round(schedule.answers_until - now, 3),
    )
