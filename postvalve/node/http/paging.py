"""Pagination of lists by the query parameters `limit` and `after`."""

from __future__ import annotations

from dataclasses import dataclass

from werkzeug.wrappers import Request

from postvalve.exceptions import InvalidRequestError

DEFAULT_PAGE_SIZE = 20
MAX_PAGE_SIZE = 100


@dataclass(frozen=True, slots=True)
class Page:
    """The ids of one page of a list, and whether more follow."""

    ids: list[str]
    has_more: bool


def paginate(request: Request, ids: list[str]) -> Page:
    """Return the page of `ids` that the request selects.

    Raises:
        InvalidRequestError: `limit` is not a number in range, or `after` is not among the ids.
    """
    limit = _limit(request)
    after = request.args.get("after")
    start = 0
    if after:
        if after not in ids:
            raise InvalidRequestError(f"after: {after!r} is not in the list", parameter="after")
        start = ids.index(after) + 1
    return Page(ids[start : start + limit], len(ids) > start + limit)


def _limit(request: Request) -> int:
    text = request.args.get("limit", str(DEFAULT_PAGE_SIZE))
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_PAGE_SIZE:
        raise InvalidRequestError(f"limit: takes 1 to {MAX_PAGE_SIZE}", parameter="limit")
    return int(text)
