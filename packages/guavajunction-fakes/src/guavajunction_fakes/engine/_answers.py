"""Deterministic answers, computed from the model's name and the prompt.

A test that knows both can check that an answer is complete and not another
request's.
"""

from __future__ import annotations

from typing import Any

import xxhash

MIN_TOKENS = 8
TOKEN_COUNT_RANGE = 56
PREFIX_BYTES = 256
CHARACTERS_PER_TOKEN = 4


def answer_tokens(model: str, prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer to a prompt.

    Args:
        model: Model or adapter; a version after `@` is ignored.
        prompt: Text of all messages, as `prompt_of` returns it.
        max_tokens: Maximum number of tokens that the request allows.

    Returns:
        Texts of the tokens.

    >>> answer_tokens("m@2", "hello", 2) == answer_tokens("m", "hello", 9)[:2]
    True
    """
    name = model.partition("@")[0]
    digest = xxhash.xxh3_64_intdigest(f"{name}\n{prompt}".encode())
    count = min(max_tokens, MIN_TOKENS + digest % TOKEN_COUNT_RANGE)
    return [_token(digest, index) for index in range(count)]


def expected_answer(model: str, prompt: str, max_tokens: int) -> str:
    """Return the text of the answer to a prompt, for tests to compare with."""
    return "".join(answer_tokens(model, prompt, max_tokens))


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt text of a request body.

    >>> prompt_of({"messages": [{"role": "user", "content": "hello"}]})
    'hello'
    """
    if "prompt" in body:
        return str(body["prompt"])
    return "\n".join(str(message["content"]) for message in body["messages"])


def prefix_of(body: dict[str, Any]) -> str:
    """Return the hash by which the prefix cache identifies a prompt's prefix."""
    text = _prefix_text(body).encode()[:PREFIX_BYTES]
    return xxhash.xxh3_64_hexdigest(text)


def tokens_in(prompt: str) -> int:
    """Return the number of tokens of a prompt, estimated from its length."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def _prefix_text(body: dict[str, Any]) -> str:
    if "prompt" in body:
        return str(body["prompt"])
    parts = [
        _first_message_content(body["messages"], "system"),
        _first_message_content(body["messages"], "user"),
    ]
    return "\n".join(part for part in parts if part is not None)


def _first_message_content(messages: list[dict[str, Any]], role: str) -> str | None:
    for message in messages:
        if message["role"] == role:
            return str(message["content"])
    return None


def _token(digest: int, index: int) -> str:
    word = xxhash.xxh3_64_intdigest(f"{digest}/{index}".encode()) % 0xFFFF
    return f" {word:04x}"
