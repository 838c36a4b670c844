"""Tests of the operator routes over HTTP."""

from __future__ import annotations

import pytest
from aiohttp.test_utils import TestClient

from fakes_configuration import EXAMPLE, lose_head_writes
from fakes_operator import TOKEN, ServedFleet, ServedNode

WHO = {"author": "aino", "attempt_id": "t1"}


@pytest.fixture
async def fleet():
    fleet = ServedFleet("a", "b")
    fleet.listed_names.append("gone")
    return fleet


@pytest.fixture
async def call(fleet):
    async with TestClient(fleet.served[0].server) as client:

        async def call(method, path, body=None, token=TOKEN, scheme="Bearer "):
            headers = {"Authorization": f"{scheme}{token}"}
            url = f"/operator/{path}"
            async with client.request(method, url, json=body, headers=headers) as resp:
                return resp.status, await resp.json()

        yield call


async def apply_example(call):
    based_on = dict.fromkeys(["customers", "models", "backends"], 0)
    based_on |= dict.fromkeys(["services", "objectives"], 0)
    body = {"document": EXAMPLE, "based_on": based_on, **WHO, "attempt_id": "t0"}
    return await call("POST", "apply", body)


class TestGuard:
    """Requests without the operator token are refused."""

    @pytest.mark.parametrize("token", ["", "operator-tokeN", "operator-token2", "é"])
    async def test_wrong_token(self, call, token):
        status, answer = await call("GET", "document", token=token)
        assert (status, answer["error"]["type"]) == (401, "token_refused")

    @pytest.mark.parametrize("scheme", ["Basic ", ""])
    async def test_token_under_another_scheme(self, call, scheme):
        assert (await call("GET", "status", scheme=scheme))[0] == 401

    async def test_empty_token_refuses_every_request(self, fleet):
        served = ServedNode(fleet, fleet.nodes[1], token="")
        async with TestClient(served.server) as client:
            headers = {"Authorization": "Bearer "}
            resp = await client.get("/operator/status", headers=headers)
            assert resp.status == 401


class TestDocument:
    """Documents can be checked, compared, accepted and rolled back."""

    async def test_apply_then_apply_again(self, call):
        assert await apply_example(call) == (200, {"version": 1})
        assert await apply_example(call) == (200, {"version": 1})
        assert await call("GET", "attempts/t0") == (200, {"version": 1, "accepted": 1})
        assert (await call("GET", "attempts/t9"))[1]["version"] is None

    async def test_faults_are_listed(self, call):
        body = {"document": "[customers.a]\nrate = 0\nburst = 1"}
        status, answer = await call("POST", "validate", body)
        assert status == 422
        fault = {"path": "customers.a.rate", "found": "0", "expected": "more than 0"}
        assert answer["error"]["faults"] == [fault]

    async def test_diff_and_edited_document(self, call):
        await apply_example(call)
        shown = (await call("GET", "document"))[1]["document"]
        edited = shown.replace("rate = 1500.0", "rate = 9.0")
        status, answer = await call("POST", "diff", {"document": edited})
        change = {"path": "customers.returns.rate", "before": 1500.0, "after": 9.0}
        assert (status, answer["changes"]) == (200, [change])
        body = {"document": edited, **WHO}
        assert await call("POST", "apply", body) == (200, {"version": 2})
        body = {"document": edited.replace("9.0", "8.0"), **WHO, "attempt_id": "t2"}
        status, answer = await call("POST", "apply", body)
        assert (status, answer["error"]["type"]) == (409, "section_conflict")
        assert "changed by aino at" in answer["error"]["message"]

    async def test_digests_are_not_shown(self, call):
        await apply_example(call)
        key = f'[keys.k]\ncustomer = "returns"\ndigest = "{"0" * 64}"'
        answer = (await call("POST", "diff", {"document": key}))[1]
        assert [c["after"] for c in answer["changes"]] == ["returns", "(digest)"]

    async def test_missing_based_on_is_refused(self, call):
        status, answer = await call("POST", "apply", {"document": EXAMPLE, **WHO})
        assert (status, answer["error"]["type"]) == (400, "bad_request")

    async def test_unknown_outcome_differs_from_not_accepted(self, call, fleet):
        await apply_example(call)
        edited = EXAMPLE.replace("rate = 1500.0", "rate = 9.0")
        body = {"document": edited, "based_on": {}, **WHO}
        body["based_on"] = dict.fromkeys(fleet.nodes[0].manager.head.sections, 1)
        fleet.table.down = True
        status, answer = await call("POST", "apply", body)
        assert (status, answer["error"]["type"]) == (503, "store_unavailable")
        fleet.table.down = False
        lose_head_writes(fleet.nodes[0])
        status, answer = await call("POST", "apply", body)
        assert (status, answer["error"]["type"]) == (503, "acceptance_unknown")

    async def test_no_majority(self, call, fleet):
        fleet.nodes[0].membership.majority = False
        status, answer = await apply_example(call)
        assert (status, answer["error"]["type"]) == (503, "not_accepted")

    async def test_roll_back(self, call):
        await apply_example(call)
        edited = EXAMPLE.replace("rate = 1500.0", "rate = 9.0")
        based_on = dict.fromkeys(["customers", "models", "backends"], 1)
        based_on |= dict.fromkeys(["services", "objectives"], 1)
        await call("POST", "apply", {"document": edited, "based_on": based_on, **WHO})
        body = {"version": 1, "author": "aino", "attempt_id": "back"}
        assert await call("POST", "rollback", body) == (200, {"version": 3})
        versions = (await call("GET", "history"))[1]["versions"]
        assert [v["attempt_id"] for v in versions] == ["back", "t1", "t0"]


class TestKeys:
    """Keys are shown once and stored as digests."""

    async def test_issue_list_withdraw(self, call, fleet):
        await apply_example(call)
        body = {"customer": "returns", **WHO}
        status, issued = await call("POST", "keys", body)
        assert (status, issued["key"]) == (200, "gj_k1_secret")
        listed = (await call("GET", "keys"))[1]["keys"]
        assert listed == [{"key_id": "k1", "customer": "returns"}]
        stored = b"".join(fleet.objects.objects.values())
        assert b"gj_k1" not in stored
        withdrawal = {**WHO, "attempt_id": "t2"}
        assert (await call("DELETE", "keys/k1", withdrawal))[0] == 200
        assert (await call("DELETE", "keys/k1", withdrawal))[0] == 200
        assert fleet.nodes[0].manager.current.keys == {}
        assert (await call("DELETE", "keys/k1", {**WHO, "attempt_id": "t3"}))[0] == 404

    async def test_repeated_issue_returns_no_unusable_key(self, call):
        await apply_example(call)
        body = {"customer": "returns", **WHO}
        await call("POST", "keys", body)
        status, answer = await call("POST", "keys", body)
        assert (status, answer["error"]["type"]) == (409, "key_already_issued")

    async def test_unknown_customer(self, call):
        await apply_example(call)
        status, answer = await call("POST", "keys", {"customer": "nobody", **WHO})
        assert (status, answer["error"]["type"]) == (422, "document_invalid")


class TestFleet:
    """Status of instances, drains and explanations of requests."""

    async def test_status_names_instances_not_reached(self, call, fleet):
        await apply_example(call)
        await fleet.nodes[1].manager.refresh()
        fleet.network.send_heartbeats()
        status = (await call("GET", "status"))[1]
        assert status["not_reached"] == ["gone"]
        assert [i["version"] for i in status["instances"]] == [1, 1, None]
        fleet.table.down = True
        assert (await call("GET", "status"))[1]["accepted"] == 1

    async def test_drain_of_a_backend_server(self, call, fleet):
        await apply_example(call)
        assert (await call("POST", "backends/booking-1/drain", WHO))[0] == 200
        assert fleet.nodes[0].manager.current.backends["booking-1"].leaving
        status, answer = await call(
            "POST", "backends/runner-1/drain", {**WHO, "attempt_id": "t2"}
        )
        assert status == 422
        assert answer["error"]["faults"][0]["path"] == "models.captions.min_replicas"

    async def test_drain_of_the_instance_and_explanation(self, call, fleet):
        assert (await call("POST", "instance/drain", {}))[0] == 202
        assert fleet.served[0].drained
        answer = (await call("GET", "explain/r1"))[1]
        assert answer["instance"] == "a"
        assert answer["decisions"][0]["event"] == 700
