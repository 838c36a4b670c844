"""Bodies of answers, as OpenAI's API has them."""

from __future__ import annotations

import json
import uuid
from typing import Any

from ._batch import Job


class Chunks:
    """Writes the bodies of one answer."""

    def __init__(self, path: str, job: Job) -> None:
        self._chat = path.endswith("/chat/completions")
        self._job = job
        self._id = f"chatcmpl-{job.request_id}"

    def token(self, text: str) -> str:
        """Return the chunk of one token."""
        return json.dumps(self._chunk(self._choice(text, None)))

    def of_another_request(self, text: str) -> str:
        """Return a chunk that does not belong to this answer."""
        chunk = self._chunk(self._choice(f" crossed{text}", None))
        return json.dumps({**chunk, "id": f"chatcmpl-{uuid.uuid4().hex}"})

    def end(self) -> str:
        """Return the chunk that names the reason of the end."""
        chunk = self._chunk(self._choice("", "stop"))
        return json.dumps({**chunk, "usage": self._usage()})

    def whole(self, text: str) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        if self._chat:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
        else:
            choice = {"index": 0, "text": text, "finish_reason": "stop"}
        kind = "chat.completion" if self._chat else "text_completion"
        return {**self._chunk(choice), "object": kind, "usage": self._usage()}

    def _chunk(self, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": "chat.completion.chunk" if self._chat else "text_completion",
            "model": self._job.artifact.name,
            "choices": [choice],
        }

    def _choice(self, text: str, reason: str | None) -> dict[str, Any]:
        if self._chat:
            delta = {"content": text} if text else {}
            return {"index": 0, "delta": delta, "finish_reason": reason}
        return {"index": 0, "text": text, "finish_reason": reason}

    def _usage(self) -> dict[str, int]:
        prompt, completion = self._job.prompt_tokens, len(self._job.tokens)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
        }
