"""Runs each curl command of the reference pages for callers against a small fleet."""

from __future__ import annotations

import json
import re
import shlex
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import pytest
import pytest_asyncio
from multidict import CIMultiDictProxy

from guavajunction_fakes.fleet import PROFILES, Fleet

REFERENCE = Path(__file__).resolve().parent.parent.parent / "docs" / "reference"
READY_TIMEOUT_SECONDS = 60

COMMAND = re.compile(r"^ {4}(curl (?:.*\\\n)*.*)$", re.MULTILINE)
"""An indented curl command with its continuation lines."""


class CurlCall(NamedTuple):
    """The HTTP request that a curl command sends."""

    method: str
    url: str
    headers: dict[str, str]
    body: str | None


def curl_lines(page: str) -> list[str]:
    """Return the curl commands of a reference page, each joined to one line."""
    text = (REFERENCE / page).read_text(encoding="utf-8")
    return [line.replace("\\\n", " ") for line in COMMAND.findall(text)]


def parse(line: str, variables: dict[str, str]) -> CurlCall:
    """Parse a curl command after replacing its variables; fail on unknown options."""
    for name, value in variables.items():
        line = line.replace(f"${name}", value)
    words = iter(shlex.split(line)[1:])
    url, body, headers = "", None, {}
    for word in words:
        if word == "-H":
            name, _, value = next(words).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = next(words)
        elif word in ("-s", "-sN"):
            continue
        else:
            assert word.startswith("http://"), f"unknown option {word}"
            url = word
    if body is not None:
        headers.setdefault("Content-Type", "application/x-www-form-urlencoded")
    return CurlCall("GET" if body is None else "POST", url, headers, body)


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    var = tmp_path_factory.mktemp("fleet")
    async with Fleet(PROFILES["demo"], var, entries=3) as fleet:
        await fleet.wait_until_ready(within=READY_TIMEOUT_SECONDS)
        yield fleet


class Answer(NamedTuple):
    """Response to a curl command."""

    status: int
    headers: CIMultiDictProxy[str]
    text: str

    @property
    def json(self) -> Any:
        return json.loads(self.text)


async def run(fleet: Fleet, line: str) -> Answer:
    """Send the request of a curl command to the first instance."""
    variables = {"URL": fleet.urls[0], "KEY": fleet.customers[0].key}
    call = parse(line, variables)
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            call.method, call.url, headers=call.headers, data=call.body
        ) as resp,
    ):
        return Answer(resp.status, resp.headers, await resp.text())


def find_line(lines: list[str], *parts: str, without: str = "\0") -> str:
    """Return the only line that contains all the parts and not `without`."""
    found = [
        line
        for line in lines
        if all(part in line for part in parts) and without not in line
    ]
    assert len(found) == 1, f"{len(found)} lines with {parts}"
    return found[0]


@pytest.mark.asyncio(loop_scope="module")
class TestCallerPage:
    """Each curl command of the caller API page gives the documented response."""

    LINES = curl_lines("caller-api.md")

    async def test_number_of_curl_lines_matches_the_tests(self):
        assert len(self.LINES) == 7

    async def test_directory(self, fleet):
        answer = await run(fleet, find_line(self.LINES, "/v1/instances"))
        assert answer.status == 200
        assert answer.json.keys() == {"instances", "ttl_seconds"}
        assert answer.json["ttl_seconds"] == 2.0
        names = set()
        for entry in answer.json["instances"]:
            assert entry.keys() == {"name", "data_centre", "address", "port"}
            names.add(entry["name"])
        assert names == {"entry-1", "entry-2", "entry-3"}

    async def test_chat(self, fleet):
        line = find_line(self.LINES, "chat/completions", without='"stream"')
        answer = await run(fleet, line)
        assert answer.status == 200
        assert answer.json["choices"][0]["message"]["content"]
        assert answer.json["usage"]["completion_tokens"] == 16

    async def test_streamed_chat_ends_with_done(self, fleet):
        answer = await run(fleet, find_line(self.LINES, '"stream": true'))
        assert answer.status == 200
        assert answer.headers["Content-Type"].startswith("text/event-stream")
        assert answer.text.rstrip().endswith("data: [DONE]")
        assert answer.text.count("data: ") > 16

    async def test_models(self, fleet):
        answer = await run(fleet, find_line(self.LINES, "/v1/models", "KEY"))
        assert answer.status == 200
        assert "model-1" in {model["id"] for model in answer.json["data"]}

    async def test_open_route_of_a_service(self, fleet):
        line = find_line(self.LINES, "/availability")
        assert "KEY" not in line
        assert (await run(fleet, line)).status == 200

    async def test_booking_and_its_repeat(self, fleet):
        line = find_line(self.LINES, "/bookings")
        first, repeat = await run(fleet, line), await run(fleet, line)
        assert first.status == repeat.status == 201
        assert "Idempotent-Replayed" not in first.headers
        assert repeat.headers["Idempotent-Replayed"] == "true"
        assert repeat.text == first.text

    async def test_refusal_without_a_key(self, fleet):
        answer = await run(fleet, find_line(self.LINES, "/v1/models", without="KEY"))
        assert answer.status == 401
        error = answer.json["error"]
        assert error.pop("message")
        assert error.pop("request_id") == answer.headers["X-Request-Id"]
        assert error == {"type": "key_missing", "not_run": "true", "retry_after": None}


@pytest.mark.asyncio(loop_scope="module")
class TestMetricsPage:
    """The curl command of the metrics page returns the listed metrics."""

    async def test_each_listed_name_is_exposed(self, fleet):
        chat = find_line(TestCallerPage.LINES, '"stream": true')
        refused = find_line(TestCallerPage.LINES, "/v1/models", without="KEY")
        await run(fleet, chat)
        await run(fleet, refused)
        (line,) = curl_lines("metrics.md")
        answer = await run(fleet, line)
        assert answer.status == 200
        assert answer.headers["Content-Type"].startswith("text/plain")
        page = (REFERENCE / "metrics.md").read_text(encoding="utf-8")
        listed = set(re.findall(r"`(guavajunction_\w+)`", page))
        assert len(listed) > 5
        missing = {name for name in listed if f"\n{name}" not in f"\n{answer.text}"}
        assert not missing
