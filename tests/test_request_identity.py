"""What counts as the same request, and what must not."""

import unittest

from postvalve.core.admission.request_identity import DIGEST_BYTES, item_digest, request_digest

REQUEST = ("10.0.0.1", "h.example", "POST", "/a/b?c", b"body")
ITEM = ("h.example", "/a/b?c", (("Model", "m"), ("Other", "1")), b"body")


class RequestDigestTest(unittest.TestCase):
    def test_each_part_counts(self):
        whole = request_digest(*REQUEST)
        self.assertEqual(len(whole), DIGEST_BYTES)
        for place, part in enumerate(REQUEST):
            other = list(REQUEST)
            other[place] = part + (b"x" if isinstance(part, bytes) else "x")
            self.assertNotEqual(request_digest(*other), whole)

    def test_parts_that_run_into_each_other_are_told_apart(self):
        self.assertNotEqual(
            request_digest("10.0.0.1", "h.example", "POST", "/a", b"/b"),
            request_digest("10.0.0.1", "h.example", "POST", "/a/b", b""),
        )


class ItemDigestTest(unittest.TestCase):
    def test_the_order_and_case_of_headers_do_not_count(self):
        host, target, headers, body = ITEM
        turned = tuple((name.upper(), value) for name, value in reversed(headers))
        self.assertEqual(item_digest(host, target, turned, body), item_digest(*ITEM))

    def test_what_an_engine_gets_counts(self):
        host, target, headers, body = ITEM
        for other in (
            ("x.example", target, headers, body),
            (host, "/other", headers, body),
            (host, target, (*headers, ("More", "1")), body),
            (host, target, headers, b"other"),
        ):
            self.assertNotEqual(item_digest(*other), item_digest(*ITEM))

    def test_an_item_is_never_taken_for_an_online_request(self):
        self.assertNotEqual(
            item_digest("h.example", "/a", (), b"body"),
            request_digest("", "h.example", "POST", "/a", b"body"),
        )
