"""`/v1/batches`: create, show, list and cancel batches."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from werkzeug.wrappers import Request, Response

from postvalve.clock import milliseconds
from postvalve.core.batch.identity import error_file_id, job_id_for, output_file_id
from postvalve.core.batch.job_ledger import JobLedger
from postvalve.core.configuration.resolution import resolve_workload
from postvalve.exceptions import InvalidRequestError, NotFoundError
from postvalve.json_input import check_json
from postvalve.messages.generated import records
from postvalve.node.batch.file_store import FileDescription, FileStore
from postvalve.node.batch.job_store import JobStore
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.http.headers import (
    at_most_once,
    deadline_seconds,
    idempotency_key,
    workload_name,
)
from postvalve.node.http.json_responses import json_response, list_document
from postvalve.node.http.paging import paginate
from postvalve.settings.fleet import TenantSpec
from postvalve.states import JobState, TrafficClass

MAX_METADATA_ENTRIES = 16
MAX_METADATA_LENGTH = 512
_UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_WINDOW = re.compile(r"^([1-9][0-9]{0,5})([smhd])$")

MetadataText = Annotated[str, Field(max_length=MAX_METADATA_LENGTH)]


class BatchBody(BaseModel):
    """Request body of `POST /v1/batches`."""

    model_config = ConfigDict(extra="ignore", strict=True)

    input_file_id: str
    endpoint: Literal["/v1/chat/completions"]
    completion_window: str
    metadata: dict[MetadataText, MetadataText] | None = Field(None, max_length=MAX_METADATA_ENTRIES)


class BatchesEndpoint:
    """Handlers of `/v1/batches`."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationService,
        files: FileStore,
        jobs: JobStore,
    ) -> None:
        self._clock = context.clock
        self._new_id = context.new_id
        self._configuration = configuration
        self._files = files
        self._jobs = jobs

    def create(self, request: Request, tenant: TenantSpec) -> Response:
        """Create a batch; responds once the log has decided on its record."""
        body = _parse_body(request.get_data())
        workload = resolve_workload(
            self._configuration.current, tenant, workload_name(request), TrafficClass.BATCH
        )
        file = self._files.describe(tenant.name, body.input_file_id)
        self._check_model(file)
        created_at = self._clock.wall()
        time_limit = deadline_seconds(request) or _window_seconds(body.completion_window)
        is_at_most_once = at_most_once(request)
        submission = records.JobSubmitted(
            job_id=job_id_for(tenant.name, idempotency_key(request) or self._new_id()),
            tenant=tenant.name,
            workload=workload.name,
            rank=workload.rank,
            input_file_id=file.file_id,
            endpoint=body.endpoint,
            items=file.lines,
            model=file.model,
            created_at_ms=milliseconds(created_at),
            deadline_at_ms=milliseconds(created_at + time_limit),
            request_digest=_request_digest(body, workload.name, is_at_most_once, file, time_limit),
            at_most_once=is_at_most_once,
            metadata_json=json.dumps(body.metadata) if body.metadata else "",
            completion_window=body.completion_window,
        )
        return json_response(batch_document(self._jobs.submit(submission)))

    def _check_model(self, file: FileDescription) -> None:
        if not self._configuration.current.serves(file.model):
            raise NotFoundError(f"there is no model {file.model!r}", parameter="body.model")

    def show(self, request: Request, tenant: TenantSpec, job_id: str) -> Response:
        """Return the state of a batch."""
        return json_response(batch_document(self._jobs.get(tenant.name, job_id)))

    def list(self, request: Request, tenant: TenantSpec) -> Response:
        """List the tenant's batches, newest first."""
        page = paginate(request, self._jobs.tenant_jobs(tenant.name))
        documents = [batch_document(self._jobs.get(tenant.name, job_id)) for job_id in page.ids]
        return json_response(list_document(documents, page.has_more))

    def cancel(self, request: Request, tenant: TenantSpec, job_id: str) -> Response:
        """Cancel a batch; has no effect on one that has ended."""
        return json_response(batch_document(self._jobs.cancel(tenant.name, job_id)))


def _parse_body(content: bytes) -> BatchBody:
    check_json(content)
    try:
        return BatchBody.model_validate_json(content)
    except ValidationError as error:
        validation_error = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in validation_error["loc"])
        message = f"{field}: {validation_error['msg']}" if field else str(validation_error["msg"])
        raise InvalidRequestError(message, parameter=field or None) from None


def _window_seconds(window: str) -> float:
    match = _WINDOW.match(window)
    if match is None:
        raise InvalidRequestError(
            f"completion_window: {window!r} is no number with s, m, h or d",
            parameter="completion_window",
        )
    return float(int(match.group(1)) * _UNIT_SECONDS[match.group(2)])


def _request_digest(
    body: BatchBody, workload: str, is_at_most_once: bool, file: FileDescription, time_limit: float
) -> str:
    # Input files are compared by content: a client that resends a request may have uploaded its
    # file again, under a new id.
    parts = [
        file.sha256,
        body.endpoint,
        workload,
        str(is_at_most_once),
        str(time_limit),
        json.dumps(body.metadata, sort_keys=True),
    ]
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def batch_document(ledger: JobLedger) -> dict[str, Any]:
    """Return a batch object of the OpenAI API."""
    submission = ledger.accepted
    ended_at = ledger.ended_at_ms // 1000 or None
    completed = ledger.state is JobState.COMPLETED
    cancelled = ledger.state is JobState.CANCELLED
    ended = ledger.state.is_terminal
    return {
        "id": submission.job_id,
        "object": "batch",
        "endpoint": submission.endpoint,
        "errors": None,
        "input_file_id": submission.input_file_id,
        "completion_window": submission.completion_window,
        "status": ledger.state.value,
        "output_file_id": output_file_id(submission.job_id) if ended else None,
        "error_file_id": error_file_id(submission.job_id) if ended and ledger.failed else None,
        "created_at": submission.created_at_ms // 1000,
        "in_progress_at": submission.created_at_ms // 1000,
        "expires_at": submission.deadline_at_ms // 1000,
        "completed_at": ended_at if completed else None,
        "cancelled_at": ended_at if cancelled else None,
        "request_counts": {
            "total": submission.items,
            "completed": ledger.completed,
            "failed": ledger.failed,
        },
        "metadata": json.loads(submission.metadata_json) if submission.metadata_json else None,
    }
