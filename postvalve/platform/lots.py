"""The platform's HTTP calls for batch jobs, which it calls lots."""

from __future__ import annotations

import base64
import json
from typing import Annotated
from urllib.parse import parse_qs, unquote

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from postvalve.core.admission.callers import Caller
from postvalve.core.batch.identity import job_id_of
from postvalve.exceptions import InvalidRequestError, MalformedJsonError, MethodNotAllowedError
from postvalve.gateway.jobs.job_service import JobService, ResultPage
from postvalve.gateway.jobs.submission import Submission, SubmittedItem
from postvalve.gateway.serving.http_calls import HttpCall, HttpReply
from postvalve.json_input import check_json
from postvalve.platform.dialect import REQUEST_ID, PlatformDialect, strip_caller_headers
from postvalve.settings.routes import RouteSpec

JOBS_PATH = "/api/lots/"
ITEMS_PATH = "/api/items/"
POSITION_PARAMETER = "watchAfter"
ITEM_PARAMETER = "id"
WAIT_HEADER = "Wait-Ms"
MAX_JOB_ID_LENGTH = 100
"""Maximum length of a job's id, in characters."""
MAX_INTERNAL_ID_BYTES = 220
"""Maximum size of a job's id with its tenant, in bytes. With an item's index, a nonce and a number,
28 bytes in all, it becomes a key of the store, which has 255 bytes at most."""
MAX_ITEM_ID_BYTES = 255
"""Maximum size of an item's id, in bytes: its length in a job's record has 8 bits."""
MAX_TOKENS = 2**32 - 1
"""Greatest number of tokens of an item: it has 32 bits in a job's record."""
MAX_DIGITS = 18
"""Maximum number of digits of a position or a time in a call."""
MAX_MESSAGE_LENGTH = 300
"""Number of characters after which the description of an invalid job is cut."""
MAX_WAIT_MS = 1_000
MAX_PAGE_BYTES = 900_000
STATE_COMPLETED = "completed"
STATE_DEAD_LETTER = "dead_letter"
BINARY_CONTENT_TYPE = "application/octet-stream"


def _check_item_id(text: str) -> str:
    if len(text.encode()) > MAX_ITEM_ID_BYTES:
        raise ValueError(f"more than {MAX_ITEM_ID_BYTES} bytes")
    return text


# What an item consists of is sent to an engine in the head of a request, which control characters
# would end, and whose characters are those of Latin-1.
_HeadText = Annotated[str, Field(pattern=r"^[\t\x20-\x7e\x80-\xff]*$")]
_HeaderName = Annotated[str, Field(pattern=r"^[ \t]*[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \t]*$")]


class _Item(BaseModel):
    model_config = ConfigDict(extra="ignore")

    id: Annotated[_HeadText, AfterValidator(_check_item_id)]
    path: _HeadText
    headers: dict[_HeaderName, _HeadText] = {}
    body: str = ""
    tokens: int = Field(0, ge=0, le=MAX_TOKENS)


class _Job(BaseModel):
    model_config = ConfigDict(extra="ignore")

    items: list[_Item] = Field(min_length=1)


class PlatformJobCalls:
    """Implementation of `JobCalls` for the platform's paths and documents."""

    def __init__(self, jobs: JobService) -> None:
        self._jobs = jobs

    def matches(self, call: HttpCall) -> bool:
        """See `JobCalls`."""
        return call.target.startswith((JOBS_PATH, ITEMS_PATH))

    def serve(self, call: HttpCall, caller: Caller) -> HttpReply:
        """See `JobCalls`."""
        if call.path.startswith(ITEMS_PATH):
            return self._body(call, caller)
        job_id = job_id_of(caller, unquote(call.path.removeprefix(JOBS_PATH)))
        if call.method == "DELETE":
            self._jobs.end(job_id)
            return HttpReply(200, b"{}")
        if call.method != "GET":
            raise MethodNotAllowedError(f"{call.method} is not allowed here")
        wait = min(_parse_number(call.header(WAIT_HEADER), WAIT_HEADER), MAX_WAIT_MS)
        position = _parse_number(_query_value(call, POSITION_PARAMETER), POSITION_PARAMETER)
        page = self._jobs.results(job_id, position, wait / 1000)
        return HttpReply(200, _page_document(page, position))

    def _body(self, call: HttpCall, caller: Caller) -> HttpReply:
        job_id = job_id_of(caller, unquote(call.path.removeprefix(ITEMS_PATH)))
        body = self._jobs.body(job_id, _query_value(call, ITEM_PARAMETER) or "")
        return HttpReply(200, body, content_type=BINARY_CONTENT_TYPE)

    def submit(self, call: HttpCall, route: RouteSpec, caller: Caller) -> HttpReply:
        """See `JobCalls`."""
        sent_id = call.header(REQUEST_ID)
        if call.method != "POST" or not sent_id:
            raise InvalidRequestError("a job is a POST with an id")
        if len(sent_id) > MAX_JOB_ID_LENGTH:
            raise InvalidRequestError(f"a job's id has {MAX_JOB_ID_LENGTH} characters at the most")
        job_id = job_id_of(caller, sent_id)
        if len(job_id.encode()) > MAX_INTERNAL_ID_BYTES:
            raise InvalidRequestError(
                f"a job's id has {MAX_INTERNAL_ID_BYTES} bytes at the most, with its tenant's name"
            )
        self._jobs.submit(
            Submission(
                job_id,
                call.host,
                route,
                route.targets[0].service,
                _parse_items(call.body),
                caller.name,
            )
        )
        return HttpReply(202, b"{}")


def _parse_items(body: bytes) -> tuple[SubmittedItem, ...]:
    try:
        check_json(body)
        job = _Job.model_validate_json(body)
        return tuple(_to_submitted_item(item) for item in job.items)
    except MalformedJsonError as error:
        raise InvalidRequestError(f"the job can't be read: {error.message}") from None
    except ValidationError as error:
        raise _invalid_job(error) from None
    except ValueError as error:
        raise InvalidRequestError(f"an item's body is no base64: {error}") from None


def _invalid_job(error: ValidationError) -> InvalidRequestError:
    """Return the error for the caller, which names the first field that is wrong."""
    detail = error.errors(include_url=False, include_input=False, include_context=False)[0]
    field = ".".join(str(part) for part in detail["loc"])[:MAX_MESSAGE_LENGTH]
    message = f"the job can't be read: {field}: {detail['msg']}"[:MAX_MESSAGE_LENGTH]
    others = error.error_count() - 1
    return InvalidRequestError(
        f"{message} (and {others} others)" if others else message, parameter=field or None
    )


def _to_submitted_item(item: _Item) -> SubmittedItem:
    headers = strip_caller_headers(item.headers.items())
    terms = PlatformDialect().read_terms(headers)
    prompt_tokens = terms.shared_tokens + terms.own_tokens
    if max(prompt_tokens, terms.output_tokens) > MAX_TOKENS:
        raise InvalidRequestError(
            f"the job can't be read: an item's headers tell of more than {MAX_TOKENS} tokens",
            parameter="headers",
        )
    return SubmittedItem(
        item_id=item.id,
        target=item.path,
        headers=headers,
        body=base64.b64decode(item.body, validate=True),
        tokens=item.tokens,
        prompt_tokens=prompt_tokens,
        output_tokens=terms.output_tokens,
    )


def _page_document(page: ResultPage, position: int) -> bytes:
    results: list[dict[str, str]] = []
    size = 0
    for result in page.results:
        text = result.text.decode("utf-8", "surrogateescape")
        size += len(text) + 100  # allowance for id, state and JSON syntax
        if results and size > MAX_PAGE_BYTES:
            break
        state = STATE_COMPLETED if result.completed else STATE_DEAD_LETTER
        results.append({"id": result.item_id, "state": state, "text": text})
    document = {"total": page.total, "nextToken": position + len(results), "results": results}
    return json.dumps(document).encode("utf-8")


def _query_value(call: HttpCall, name: str) -> str | None:
    values = parse_qs(call.query).get(name)
    return values[0] if values else None


def _parse_number(text: str | None, name: str) -> int:
    """Parse a whole number of a call; anything else counts as 0.

    Raises:
        InvalidRequestError: It has more than `MAX_DIGITS` digits.
    """
    if not text or not (text.isascii() and text.isdigit()):
        return 0
    if len(text) > MAX_DIGITS:
        raise InvalidRequestError(f"{name} has {MAX_DIGITS} digits at the most", parameter=name)
    return int(text)
