"""`/v1/files`: uploaded input files, and output and error files of batches."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import IO, Any

from werkzeug.formparser import FormDataParser
from werkzeug.wrappers import Request, Response

from postvalve.core.batch.identity import job_of_result_file
from postvalve.core.batch.job_ledger import is_success
from postvalve.exceptions import ConflictError, InvalidRequestError, NotFoundError
from postvalve.messages.generated import records
from postvalve.node.batch.file_store import (
    BATCH_PURPOSE,
    FileDescription,
    FileStore,
    FileUpload,
)
from postvalve.node.batch.job_store import JobStore
from postvalve.node.http.json_responses import json_response, list_document
from postvalve.node.http.paging import paginate
from postvalve.settings.fleet import TenantSpec
from postvalve.settings.process import HttpSettings

FORM_OVERHEAD_BYTES = 64 * 1024
"""Maximum size of a multipart form beyond the file in it."""
MAX_FORM_PARTS = 16


class FilesEndpoint:
    """Handlers of `/v1/files`."""

    def __init__(self, settings: HttpSettings, files: FileStore, jobs: JobStore) -> None:
        self._settings = settings
        self._files = files
        self._jobs = jobs

    def upload(self, request: Request, tenant: TenantSpec) -> Response:
        """Upload a batch input file as a multipart form, validated while it is received."""
        if request.mimetype != "multipart/form-data":
            raise InvalidRequestError("send a multipart form with the fields purpose and file")
        file_id, upload = self._files.begin(
            self._settings.max_file_bytes, self._settings.max_items_per_job
        )
        filename = self._parse_form(request, upload)
        return json_response(
            file_document(self._files.seal(file_id, tenant.name, filename, upload))
        )

    def _parse_form(self, request: Request, upload: FileUpload) -> str:
        request.max_content_length = self._settings.max_file_bytes + FORM_OVERHEAD_BYTES
        parser = FormDataParser(
            stream_factory=_single_file_factory(upload),
            max_form_memory_size=FORM_OVERHEAD_BYTES,
            max_content_length=request.max_content_length,
            max_form_parts=MAX_FORM_PARTS,
            silent=False,
        )
        try:
            _, fields, files = parser.parse(
                request.stream, request.mimetype, request.content_length, request.mimetype_params
            )
        except ValueError as error:
            raise InvalidRequestError(f"the form is malformed: {error}") from error
        if "file" not in files:
            raise InvalidRequestError("the field file is missing", parameter="file")
        if fields.get("purpose") != BATCH_PURPOSE:
            raise InvalidRequestError("purpose: must be 'batch'", parameter="purpose")
        return files["file"].filename or "input.jsonl"

    def show(self, request: Request, tenant: TenantSpec, file_id: str) -> Response:
        """Return the metadata of a file."""
        job_id = job_of_result_file(file_id)
        if job_id is None:
            return json_response(file_document(self._files.describe(tenant.name, file_id)))
        size = sum(len(line) for line in self._result_lines(tenant, file_id, job_id))
        return json_response(_result_file_document(file_id, size))

    def list(self, request: Request, tenant: TenantSpec) -> Response:
        """List the files that the tenant has uploaded, newest first."""
        documents: list[dict[str, Any]] = []
        page = paginate(request, self._jobs.tenant_files(tenant.name))
        for file_id in page.ids:
            try:
                documents.append(file_document(self._files.describe(tenant.name, file_id)))
            except NotFoundError:
                continue
        return json_response(list_document(documents, page.has_more))

    def delete(self, request: Request, tenant: TenantSpec, file_id: str) -> Response:
        """Delete an uploaded file: it is no longer visible, but batches that use it go on."""
        if job_of_result_file(file_id) is not None:
            raise ConflictError("results belong to their batch and stay readable")
        self._files.delete(tenant.name, file_id)
        return json_response({"id": file_id, "object": "file", "deleted": True})

    def content(self, request: Request, tenant: TenantSpec, file_id: str) -> Response:
        """Stream the content of a file."""
        job_id = job_of_result_file(file_id)
        if job_id is not None:
            lines = self._result_lines(tenant, file_id, job_id)
        else:
            self._files.describe(tenant.name, file_id)
            lines = self._files.content(file_id)
        return Response(
            _prefetch_first(lines), content_type="application/octet-stream", direct_passthrough=True
        )

    def _result_lines(self, tenant: TenantSpec, file_id: str, job_id: str) -> Iterator[bytes]:
        ledger = self._jobs.get(tenant.name, job_id)
        wants_errors = file_id.startswith("file-err-")
        if not ledger.state.is_terminal:
            raise NotFoundError(f"file {file_id!r} exists when its batch has ended")
        return (
            result_line(result)
            for result in self._jobs.results(job_id)
            if is_success(result) is not wants_errors
        )


def _prefetch_first(lines: Iterator[bytes]) -> Iterator[bytes]:
    # Reads the first block before the response starts: an outage of the log must give an error
    # response, not an empty file.
    first = next(lines, b"")

    def blocks() -> Iterator[bytes]:
        yield first
        yield from lines

    return blocks()


def _single_file_factory(upload: FileUpload) -> Any:
    used = False

    def factory(
        total_content_length: int | None,
        content_type: str | None,
        filename: str | None,
        content_length: int | None = None,
    ) -> IO[bytes]:
        nonlocal used
        if used:
            raise InvalidRequestError("the form has more than one file", parameter="file")
        used = True
        return upload  # type: ignore[return-value]

    return factory


def file_document(description: FileDescription) -> dict[str, Any]:
    """Return a file object of the OpenAI API."""
    return {
        "id": description.file_id,
        "object": "file",
        "bytes": description.size,
        "created_at": description.created_at_ms // 1000,
        "filename": description.filename,
        "purpose": description.purpose,
        "status": "processed",
    }


def _result_file_document(file_id: str, size: int) -> dict[str, Any]:
    return {
        "id": file_id,
        "object": "file",
        "bytes": size,
        "created_at": 0,
        "filename": f"{file_id}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def result_line(result: records.ItemResult) -> bytes:
    """Return the line of an output or error file for one result."""
    response: dict[str, Any] | None = None
    error: dict[str, str] | None = None
    if result.may_have_run:
        error = {
            "code": "may_have_run",
            "message": "the item may have run and was not repeated",
            "verdict": "may_have_run",
        }
    else:
        response = {
            "status_code": result.status_code,
            "request_id": result.attempt_id,
            "body": json.loads(result.response_body),
        }
    document = {
        "id": f"batch_req_{result.attempt_id}",
        "custom_id": result.custom_id,
        "response": response,
        "error": error,
    }
    return json.dumps(document).encode("utf-8") + b"\n"
