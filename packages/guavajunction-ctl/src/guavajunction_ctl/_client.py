"""HTTP client for the operator API, with failover between instances."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from ._errors import NoInstanceAnswered, NotAccepted, OutcomeUnknown, Refused

JsonObject = dict[str, Any]

OUTCOME_READ_ATTEMPTS = 5
"""Maximum number of reads of an attempt's outcome before it counts as unknown."""

OUTCOME_READ_INTERVAL_SECONDS = 0.5

_OUTCOME_UNKNOWN_TYPES = {"acceptance_unknown"}
_RETRY_ELSEWHERE_TYPES = {"store_unavailable", "not_accepted"}


class OperatorClient:
    """Sends operator requests to the first instance that can serve them.

    Each change has an attempt id. Instances accept an attempt at most once, so the
    client can safely resend a change whose outcome is unknown.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        instances: list[str],
        token: str,
        *,
        timeout: float,
    ) -> None:
        self._session = session
        self._headers = {"Authorization": f"Bearer {token}"}
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self.instances = list(instances)
        """URLs in the order of use; instances that failed to answer come last."""

    async def read(self, path: str, body: JsonObject | None = None) -> JsonObject:
        """Send a read-only request to the instances until one answers.

        Args:
            path: Path below ``/operator/``.
            body: Body to post, or None for a GET.

        Raises:
            Refused: An instance refused the request.
            NoInstanceAnswered: No instance answered.
        """
        method = "GET" if body is None else "POST"
        failure: Exception = NoInstanceAnswered("No instance is named.")
        for url in tuple(self.instances):
            try:
                return await self.call(url, method, path, body)
            except NoInstanceAnswered as exc:
                failure = exc
            except OutcomeUnknown as exc:
                failure = NoInstanceAnswered(exc.message)
            except Refused as exc:
                failure = exc
                if exc.type not in _RETRY_ELSEWHERE_TYPES:
                    raise
        raise failure

    async def change(self, method: str, path: str, body: JsonObject) -> JsonObject:
        """Send a change to the instances until one accepts it.

        Args:
            method: HTTP method.
            path: Path below ``/operator/``.
            body: Body with `author` and `attempt_id`.

        Returns:
            The response body. If the response was lost and the outcome was read
            afterwards, the body contains only `version`.

        Raises:
            Refused: An instance refused the change.
            NotAccepted: No instance accepted the change.
            OutcomeUnknown: The change may or may not have been accepted.
        """
        attempt_id = body["attempt_id"]
        unknown = False
        reasons = []
        for url in tuple(self.instances):
            try:
                return await self.call(url, method, path, body)
            except OutcomeUnknown as exc:
                unknown = True
                reasons.append(exc.message)
            except NoInstanceAnswered as exc:
                reasons.append(exc.message)
            except Refused as exc:
                unknown = unknown or exc.type in _OUTCOME_UNKNOWN_TYPES
                reasons.append(exc.message)
                if not _should_try_next_instance(exc, unknown):
                    raise
        return await self._resolve_outcome(attempt_id, unknown, "\n".join(reasons))

    async def call(
        self, url: str, method: str, path: str, body: JsonObject | None = None
    ) -> JsonObject:
        """Send a request to one instance.

        Raises:
            Refused: The instance refused the request.
            NoInstanceAnswered: The connection failed, so nothing was sent, or a GET
                request was not answered.
            OutcomeUnknown: A request that may change something was sent but not
                answered.
        """
        full_url = f"{url}/operator/{path}"
        try:
            async with self._session.request(
                method,
                full_url,
                json=body,
                headers=self._headers,
                timeout=self._timeout,
            ) as resp:
                return await _read_answer(url, resp)
        except aiohttp.ClientConnectorError as exc:
            self._move_to_end(url)
            raise NoInstanceAnswered(f"{url} was not reached.") from exc
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            self._move_to_end(url)
            if method == "GET":
                raise NoInstanceAnswered(f"{url} did not answer.") from exc
            raise OutcomeUnknown(f"{url} did not answer.") from exc

    def _move_to_end(self, url: str) -> None:
        """Move an instance that did not answer to the end of the order of use."""
        self.instances.sort(key=lambda other: other == url)

    async def _read_outcome(self, attempt_id: str) -> int | None:
        """Return the version that an attempt created, or None if none is known."""
        for url in tuple(self.instances):
            try:
                answer = await self.call(url, "GET", f"attempts/{attempt_id}")
            except (Refused, NoInstanceAnswered):
                continue
            if answer["version"] is not None:
                return answer["version"]
        return None

    async def _resolve_outcome(
        self, attempt_id: str, unknown: bool, reasons: str
    ) -> JsonObject:
        """Poll the outcome of an attempt, at most `OUTCOME_READ_ATTEMPTS` times."""
        if not unknown:
            raise NotAccepted(f"Not accepted: nothing was changed.\n{reasons}")
        for _ in range(OUTCOME_READ_ATTEMPTS):
            version = await self._read_outcome(attempt_id)
            if version is not None:
                return {"version": version}
            await asyncio.sleep(OUTCOME_READ_INTERVAL_SECONDS)
        raise OutcomeUnknown(
            f"It is not known whether the change was accepted.\n{reasons}\n"
            f"Repeat the command with --attempt={attempt_id}; it is accepted at most"
            " once."
        )


def _should_try_next_instance(exc: Refused, unknown: bool) -> bool:
    """Return whether to send a refused change to the next instance.

    If the outcome of an earlier send is unknown, a refusal does not show whether the
    earlier send was accepted. The exception is a section conflict, with which the
    earlier send would have failed, too.
    """
    if exc.type in _OUTCOME_UNKNOWN_TYPES | _RETRY_ELSEWHERE_TYPES:
        return True
    return unknown and exc.type != "section_conflict"


async def _read_answer(url: str, resp: aiohttp.ClientResponse) -> JsonObject:
    answer = await resp.json()
    if resp.ok:
        return answer
    if "error" in answer:
        raise Refused(answer["error"])
    raise Refused({"type": "http_error", "message": f"{url} answered {resp.status}."})
