"""Demo on a small fleet: an online request and a batch, both through the command line."""

from __future__ import annotations

import hashlib
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from scripts.fleet import SHAPES, Fleet, postvalve

QUESTION = "Is a net asset value of 101.27 after 101.12 plausible?"
ITEMS = 5


def run(*arguments: str) -> str:
    """Run a `postvalve` command, print its output and return it."""
    print(f"$ postvalve {' '.join(arguments)}")
    output = subprocess.run(
        postvalve(*arguments), check=True, capture_output=True, text=True, timeout=30
    ).stdout
    print(output)
    return output


def write_items(path: Path, model: str) -> None:
    """Write a batch input file."""
    lines = [
        {
            "custom_id": f"check-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": model,
                "messages": [{"role": "user", "content": f"price check {number}"}],
                "max_tokens": 4,
            },
        }
        for number in range(ITEMS)
    ]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines), encoding="utf-8")


def check_answers(chat: str, batch: str) -> None:
    """Check that each response belongs to its request.

    Raises:
        AssertionError: A response is missing or belongs to another request.
    """
    assert chat.startswith(hashlib.sha256(QUESTION.encode()).hexdigest()[:16]), chat
    answers = {line["custom_id"]: line for line in map(json.loads, batch.splitlines())}
    assert len(answers) == ITEMS, answers
    for number in range(ITEMS):
        body = answers[f"check-{number}"]["response"]["body"]
        expected = hashlib.sha256(f"price check {number}".encode()).hexdigest()[:16]
        assert body["choices"][0]["message"]["content"].startswith(expected), body


def main() -> int:
    """Run the demo."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleet = Fleet(SHAPES["small"])
    try:
        fleet.start()
        tenant = fleet.shape.tenants[0]
        caller = ("--node", fleet.gateways[0], "--key", fleet.api_keys[tenant])
        chat = run("request", "chat", QUESTION, "--model", fleet.shape.model, *caller)
        with tempfile.TemporaryDirectory() as directory:
            items = Path(directory) / "items.jsonl"
            write_items(items, fleet.shape.model)
            batch = run("request", "batch", str(items), *caller)
        run("jobs", "list", "--log-url", fleet.log_url)
        run("status", "--node", fleet.gateways[1], "--key", fleet.operator_key)
        check_answers(chat, batch)
        print("every response belongs to its request")
    except KeyboardInterrupt:
        return 130
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
