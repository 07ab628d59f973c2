"""Rows of the status document, `GET /status` on the metrics server."""

from __future__ import annotations

from typing import Any

from postvalve.core.admission.part_quarantine import PartQuarantine
from postvalve.core.admission.quarantine import Quarantine
from postvalve.core.batch.job_board import JobBoard
from postvalve.core.membership.peers import PeerView
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import EngineEntry


def peer_rows(peers: PeerView, now: float) -> list[dict[str, Any]]:
    """Return the other nodes by id; `age` is the seconds since the last report of each."""
    return [
        {
            "node_id": peer.node_id,
            "zone": peer.report.zone,
            "state": "leaving" if peer.report.leaving else "running",
            "configuration_revision": peer.report.revision,
            "store": "by a peer" if peer.report.store_failing else "own",
            "age": round(now - peer.last_seen_at, 2),
        }
        for peer in sorted(peers.all(), key=lambda one: one.node_id)
    ]


def _pace_fields(fleet: EngineFleet, entry: EngineEntry, now: float) -> dict[str, Any]:
    """Return an engine's latencies relative to its service's mean.

    They are those measured by this node and its peers, and those that the engine reports.
    """
    facts = fleet.paces.summary(entry.service, entry.life, now)
    return {
        "pace_first": round(facts.estimated.first, 2),
        "pace_pause": round(facts.estimated.pause, 2),
        "pace_held": round(facts.estimated.held, 2),
        "pace_weight": round(facts.weight, 1),
        "pace_age": _rounded(facts.age),
        "pace_told": _rounded(facts.reported),
        "pace_told_age": _rounded(facts.reported_age),
        "pace_trust": round(facts.trust, 2),
    }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def engine_rows(fleet: EngineFleet, now: float) -> list[dict[str, Any]]:
    """Return the listed engines, with the requests of all nodes as this node counts them."""
    rows = []
    for entry in sorted(fleet.listed_engines(), key=lambda one: one.engine_id):
        count = fleet.use.total(entry.life)
        rows.append(
            {
                "engine_id": entry.engine_id,
                "born": entry.life.born,
                "service": entry.service,
                "zone": entry.zone,
                "state": fleet.state_of(entry),
                "slots": entry.slots,
                "online": count.online,
                "batch": count.batch,
                "unread_tokens": count.unread,
                "memory_tokens": count.memory,
                **_pace_fields(fleet, entry, now),
            }
        )
    return rows


def job_rows(board: JobBoard) -> list[dict[str, Any]]:
    """Return the jobs that have unfinished items, with the node that works on each."""
    return [
        {
            "job_id": job.job_id,
            "route": job.accepted.route,
            "node_id": job.node_id,
            "items": len(job.items),
            "listed": len(job.results),
            "due_at_ms": job.accepted.due_at_ms,
        }
        for job in board.open_jobs()
    ]


def quarantine_rows(quarantine: Quarantine, now: float) -> list[dict[str, Any]]:
    """Return the requests under which engines failed."""
    return [
        {"digest": digest.hex(), **quarantine.summary(digest, now).fields()}
        for digest in quarantine.digests()
    ]


def part_rows(quarantine: PartQuarantine, now: float) -> list[dict[str, Any]]:
    """Return the parts of prompts under which engines crashed."""
    return [
        {"digest": digest.hex(), **quarantine.fields(digest, now)}
        for digest in quarantine.digests()
    ]
