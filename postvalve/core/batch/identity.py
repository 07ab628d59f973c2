"""Ids of jobs, files and shards and names of their streams, derived from the input alone."""

from __future__ import annotations

import hashlib
from urllib.parse import quote

import xxhash

from postvalve.core.admission.callers import Caller

CONFIGURATION_STREAM = "configuration"
"""Name of the stream that every node follows."""

_ID_LENGTH = 32


def job_id_for(tenant: str, idempotency_key: str) -> str:
    """Return the id of a job; two submissions with the same idempotency key are the same job."""
    return "batch_" + _digest(tenant, idempotency_key)


def job_id_of(caller: Caller, sent_id: str) -> str:
    """Return the internal id of a routed job, since two tenants may choose the same id.

    The tenant's name is prefixed, quoted so that no other pair of name and id gives the same
    result.
    """
    if not caller.tenants_defined:
        return sent_id.replace(":", "%3A")
    return f"{quote(caller.name, safe='')}:{sent_id}"


def output_file_id(job_id: str) -> str:
    """Return the id of the file that holds a job's answers."""
    return job_id.replace("batch_", "file-out-")


def error_file_id(job_id: str) -> str:
    """Return the id of the file that lists a job's failed items."""
    return job_id.replace("batch_", "file-err-")


def job_of_result_file(file_id: str) -> str | None:
    """Return the job whose results a file id names, or None for an uploaded file."""
    for prefix in ("file-out-", "file-err-"):
        if file_id.startswith(prefix):
            return "batch_" + file_id.removeprefix(prefix)
    return None


def shard_of(job_id: str, shards: int) -> int:
    """Return the shard that a job belongs to."""
    return xxhash.xxh3_64_intdigest(job_id.encode()) % shards


def job_stream(job_id: str) -> str:
    """Return the stream that holds all decisions about one job."""
    return f"job.{job_id}"


def file_stream(file_id: str) -> str:
    """Return the stream of one uploaded file."""
    return f"file.{file_id}"


def shard_stream(shard: int) -> str:
    """Return the stream of a shard, which holds its lease and its list of jobs."""
    return f"shard.{shard}"


def tenant_stream(tenant: str) -> str:
    """Return the stream that lists the jobs and files of a tenant."""
    return f"tenant.{tenant}"


def request_stream(tenant: str, idempotency_key: str) -> str:
    """Return the stream of one online request with an idempotency key."""
    return f"request.{_digest(tenant, idempotency_key)}"


def _digest(tenant: str, key: str) -> str:
    return hashlib.sha256(f"{tenant}\0{key}".encode()).hexdigest()[:_ID_LENGTH]
