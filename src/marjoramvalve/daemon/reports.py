"""Reports for operators: the status of an instance and the reason for a refusal."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marjoramvalve.daemon.nodes import Node


def status_report(node: "Node") -> dict:
    """Returns the status of an instance, ready for JSON encoding."""
    view = node.view
    clock = node.context.clock()
    report = {
        "instance": node.cfg.instance,
        "domain": node.cfg.domain,
        "version": view.version,
        "digest": view.digest,
        "epoch": view.roster.epoch,
        "placement_epoch": view.roster.placement_epoch,
        "settled_epoch": node.keeper_host.settled_epoch(),
        "confirmed_s_ago": round(clock - view.confirmed_at, 3),
        "current": node.context.is_current(),
        "running": node.gateway.running,
        "records": len(node.keeper_host.keeper),
        "quarantined": len(node.gateway.quarantine),
        "instances": [_member_report(node, item) for item in view.roster.members],
        "targets": node.slots.describe(),
        "owned": [_owner_report(owner) for owner in node.slot_host.owners()],
        "calls": node.counters.by_label("calls"),
        "refusals": node.counters.by_label("refusals"),
        "attempts": node.counters.by_label("attempts"),
        "retries": node.counters.by_label("retries"),
        "control_bytes": node.datagrams.sent_bytes + node.streams.sent_bytes,
        "control_messages": node.datagrams.sent + node.streams.sent,
    }
    if node.controller is not None:
        report["controller"] = _controller_report(node)
    return report


def _member_report(node: "Node", item) -> dict:
    silent = None
    if node.controller is not None and node.controller.is_leader():
        silent = round(node.controller.silence(item.name), 2)
    return {
        "name": item.name,
        "domain": item.domain,
        "peer": item.peer,
        "control": item.control,
        "silent_s": silent,
        "upstreams": [info.name for info in item.upstreams],
    }


def _owner_report(owner) -> dict:
    return {
        "upstream": owner.info.name,
        "service": owner.info.service,
        "slots": owner.info.slots,
        "limit": owner.limit.value,
        "held": owner.held(),
        "waiting": owner.waiting(),
        "connections": owner.connections(),
        "draining": owner.draining,
        "unreported": list(owner.unreported()),
    }


def _controller_report(node: "Node") -> dict:
    controller = node.controller
    replica = controller.replica
    return {
        "role": replica.role,
        "leads": controller.is_leader(),
        "leader": replica.leader,
        "term": replica.term,
        "commit": replica.commit,
        "last_index": replica.log.last_index,
        "snapshot_index": replica.log.snapshot.index,
        "voters": replica.members.voters,
        "learners": replica.members.learners,
        "lag": replica.lag(),
        "bytes_read_at_start": controller.bytes_read,
        "version": controller.state.version,
    }


def explain_report(node: "Node", request_id: str) -> dict | None:
    """Returns why this instance refused a request, or None if it has no record of a refusal."""
    entry = node.gateway.journal.get(request_id)
    if entry is None:
        return None
    refusal = entry.refusal
    return {
        "request_id": request_id,
        "instance": node.cfg.instance,
        "reason": refusal.reason,
        "status": refusal.status,
        "run": refusal.run,
        "detail": refusal.detail,
        "retry_after_s": refusal.retry_after_s,
        "customer": entry.customer,
        "route": entry.route,
        "at": entry.at,
        "version": entry.version,
        "current_version": node.view.version,
    }
