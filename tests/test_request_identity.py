"""Which requests count as the same one, and which must not."""

import unittest

from postvalve.core.admission.request_identity import DIGEST_BYTES, identify
from postvalve.platform.dialect import PlatformDialect

REQUEST = ("key", "h.example", "POST", "/a/b?c", b"body")
HEADERS = (("Model", "m"), ("Other", "1"))


class IdentityTest(unittest.TestCase):
    def test_each_part_counts(self):
        whole = identify(*REQUEST, HEADERS)
        self.assertEqual(len(whole.digest), DIGEST_BYTES)
        for place, part in enumerate(REQUEST):
            other = list(REQUEST)
            other[place] = part + (b"x" if isinstance(part, bytes) else "x")
            self.assertNotEqual(identify(*other, HEADERS).digest, whole.digest)

    def test_adjacent_parts_are_kept_apart(self):
        self.assertNotEqual(
            identify("", "h.example", "POST", "/a", b"/b", ()).digest,
            identify("", "h.example", "POST", "/a/b", b"", ()).digest,
        )

    def test_other_headers_make_another_variant(self):
        whole = identify(*REQUEST, HEADERS)
        for headers in (HEADERS[:1], (*HEADERS, ("More", "1")), (("Model", "n"), HEADERS[1])):
            other = identify(*REQUEST, headers)
            self.assertEqual(other.digest, whole.digest)
            self.assertNotEqual(other.variant, whole.variant)

    def test_the_order_and_case_of_headers_do_not_count(self):
        turned = [(name.upper(), value) for name, value in reversed(HEADERS)]
        self.assertEqual(identify(*REQUEST, turned), identify(*REQUEST, HEADERS))


class DialectTest(unittest.TestCase):
    def identity(self, **changes):
        headers = {
            "Request-Id": "1",
            "Deadline-Ms": "5000",
            "Length-Hint": "20",
            "Connection": "close",
            "Model": "m",
            "Authorization": "Bearer a",
            **changes,
        }
        return PlatformDialect().identify("", "h", "POST", "/a", b"body", list(headers.items()))

    def test_a_stream_taken_up_is_the_same_request(self):
        taken_up = self.identity(**{"Last-Event-Id": "3", "Resumes": "r1", "Request-Id": "2"})
        self.assertEqual(taken_up, self.identity())

    def test_what_changes_each_time_does_not_count(self):
        changed = {
            "Request-Id": "2",
            "Deadline-Ms": "4200",
            "Last-Event-Id": "7",
            "Connection": "keep-alive",
        }
        self.assertEqual(self.identity(**changed), self.identity())

    def test_callers_with_credentials_are_kept_apart(self):
        other = self.identity(Authorization="Bearer b")
        self.assertNotEqual(other.digest, self.identity().digest)

    def test_headers_that_engines_use_make_a_variant(self):
        other = self.identity(Model="n")
        self.assertEqual(other.digest, self.identity().digest)
        self.assertNotEqual(other.variant, self.identity().variant)


class TenantTest(unittest.TestCase):
    """Tenants are distinguished by name, whichever of their keys they use."""

    def identify(self, tenant, key):
        headers = [("Model", "m"), ("Api-Key", key), ("Tenant", "x"), ("Request-Id", key)]
        return PlatformDialect().identify(tenant, "h", "POST", "/a", b"body", headers)

    def test_another_key_of_the_same_tenant_is_the_same_request(self):
        self.assertEqual(self.identify("ann", "one"), self.identify("ann", "two"))

    def test_the_request_of_another_tenant_is_another_one(self):
        digest = self.identify("ann", "one").digest
        self.assertNotEqual(self.identify("bob", "one").digest, digest)
        self.assertNotEqual(self.identify("", "one").digest, digest)
