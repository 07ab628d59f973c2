"""`postvalve explain` selects the log lines of a request, and their context."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from postvalve.cli.main import main


def line(second, node, number, **fields):
    document = {"timestamp": f"2026-01-01T00:00:{second:02}.000000Z", "node": node}
    return json.dumps({**document, "number": number, "event": f"event {number}", **fields})


LINES = [
    "noise",
    "  2.79 n1 " + line(10, "n1", 210, request="r1", engine="e1", error="cut"),
    line(9, "n1", 412, engine="e1"),
    line(9, "n1", 412, engine="e2"),
    line(9, "n2", 610, topic="jobs"),
    line(11, "n1", 213, request="r1", status=502),
    line(40, "n1", 102),
    line(50, "n3", 215, request="q1", tenant="ann", before=0, ahead=[]),
    line(50, "n3", 215, request="q2", tenant="bob", before=1, ahead=["q1"]),
    line(51, "n3", 217, request="q3", tenant="bob", before=2, ahead=["q1", "q2"]),
    line(52, "n3", 216, request="q1", tenant="ann", before=0, ahead=[]),
    line(53, "n3", 230, worst=[{"tenant": "bob", "asked": 9}]),
]


class ExplainTest(unittest.TestCase):
    def explain(self, *arguments):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "log")
            path.write_text("\n".join(LINES))
            output = io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
                code = main(["explain", *arguments, str(path)])
        return code, output.getvalue().splitlines()

    def test_lines_of_a_request_with_context_of_its_node_and_engine(self):
        code, printed = self.explain("r1")
        self.assertEqual(code, 0)
        self.assertEqual([printed_line[0] for printed_line in printed], [" ", "*", "*"])
        self.assertIn("412 event 412: engine=e1", printed[0])
        self.assertIn("n1 213 event 213: request=r1 status=502", printed[2])

    def test_alone(self):
        _, printed = self.explain("--alone", "r1")
        self.assertEqual(len(printed), 2)

    def test_a_refused_request_with_the_requests_ahead_of_it(self):
        _, printed = self.explain("q3")
        self.assertEqual([printed_line[0] for printed_line in printed], [" ", " ", "*", " ", " "])
        self.assertIn("216 event 216: request=q1", printed[3])
        self.assertIn("230 event 230", printed[4])

    def test_a_request_with_the_requests_behind_it(self):
        _, printed = self.explain("--alone", "q1")
        request_ids = [printed_line.split("request=")[1].split()[0] for printed_line in printed]
        self.assertEqual(request_ids, ["q1", "q2", "q3", "q1"])

    def test_unknown_id(self):
        code, printed = self.explain("none")
        self.assertNotEqual(code, 0)
        self.assertIn("no line names 'none'", printed[0])


if __name__ == "__main__":
    unittest.main()
