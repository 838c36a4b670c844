"""Tests of the keys that identify the repeats of a request."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from guavajunction.quarantine import RequestFingerprint
from guavajunction.quarantine._fingerprint import common_start, is_request_key
from guavajunction.quarantine._part_key import part_key

FIELDS = {
    "caller": "atelier",
    "method": "POST",
    "host": "here.example",
    "target": "/look/slot/7",
    "body": b"a body",
}


def key(**changes):
    return RequestFingerprint(**(FIELDS | changes)).key


class TestFingerprint:
    """Repeats have one key, and all other requests have other keys."""

    def test_each_field_tells_requests_apart(self):
        keys = [
            key(),
            key(caller="other"),
            key(caller=None),
            key(caller=""),
            key(method="GET"),
            key(host="there.example"),
            key(target="/look/slot/8"),
            key(target="/look/slot/7?a=1"),
            key(body=b"a bodY"),
            key(body=b""),
        ]
        assert len(set(keys)) == len(keys)

    def test_bytes_that_move_from_one_field_to_the_next_change_the_key(self):
        moved = [key(target="/look/ab", body=b"c"), key(target="/look/a", body=b"bc")]
        assert moved[0] != moved[1]

    def test_repeats_have_the_same_key(self):
        assert key() == key() == key(host="HERE.example")

    def test_generation_has_a_key_with_its_prompt_and_one_without(self):
        one, other = (
            RequestFingerprint(**FIELDS, prompt=["m1", part]).keys
            for part in ("aa", "ab")
        )
        assert one[0] == other[0] == key()
        assert len({*one, *other}) == 3
        assert len({common_start(found) for found in (*one, *other)}) == 1
        assert common_start(key(body=b"other")) != common_start(key())

    @given(st.text(), st.text(), st.binary(), st.lists(st.text()))
    def test_keys_have_one_size_whatever_callers_send(
        self, caller, target, body, prompt
    ):
        fields = FIELDS | {"caller": caller, "target": target, "body": body}
        for found in RequestFingerprint(**fields, prompt=prompt).keys:
            assert len(found) == 25
            assert is_request_key(found)

    def test_no_prompt_part_has_the_key_of_a_request(self):
        ids = [key(), key()[:16], "=", "=" * 25, *map("=".ljust, range(1, 40))]
        assert not any(is_request_key(part_key(part_id)) for part_id in ids)

    def test_large_body_is_not_hashed_before_the_key_is_needed(self):
        fingerprints = [
            RequestFingerprint(**(FIELDS | {"body": bytes(10_000_000)}))
            for _ in itertools.repeat(None, 100)
        ]
        assert not any("key" in vars(fingerprint) for fingerprint in fingerprints)
