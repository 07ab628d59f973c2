"""What several tests share."""

import hashlib
import json


def expected_start(text):
    """The first token of the emulated engines for a message."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def batch_lines(model, count, max_tokens=6, name="item"):
    """A batch input file."""
    lines = (
        {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": model,
                "messages": [{"role": "user", "content": f"text of {name}-{number}"}],
                "max_tokens": max_tokens,
            },
        }
        for number in range(count)
    )
    return "".join(json.dumps(line) + "\n" for line in lines).encode()
