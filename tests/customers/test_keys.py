"""Tests of customer keys and of the removal of credentials."""

from __future__ import annotations

import pytest

from guavajunction.configuration import EMPTY_CONFIGURATION, Configuration, Customer
from guavajunction.customers import KeyAuthenticator, issue, strip_credentials
from guavajunction.errors import KeyMissing, KeyRefused

PEPPER = b"pepper"


def configuration(*records) -> Configuration:
    return EMPTY_CONFIGURATION._replace(
        customers={"a": Customer("a", 1.0, 1.0)},
        keys={record.digest: record for record in records},
    )


class TestKeyAuthenticator:
    """Authentication of requests by key."""

    def test_withdrawn_key_is_refused_on_the_next_request(self):
        issued = issue("a", PEPPER)
        in_force = [configuration(issued.record)]
        authenticator = KeyAuthenticator(lambda: in_force[0], PEPPER)
        assert authenticator.authenticate(f"Bearer {issued.key}").name == "a"
        in_force[0] = configuration()
        with pytest.raises(KeyRefused):
            authenticator.authenticate(f"Bearer {issued.key}")

    @pytest.mark.parametrize("header", [None, "", "Bearer", "Bearer  ", "Basic eDp5"])
    def test_request_without_a_key_raises_key_missing(self, header):
        with pytest.raises(KeyMissing):
            KeyAuthenticator(configuration, PEPPER).authenticate(header)

    def test_key_of_another_fleet_or_deleted_customer_is_refused(self):
        foreign = issue("a", b"other pepper")
        orphan = issue("deleted", PEPPER)
        authenticator = KeyAuthenticator(
            lambda: configuration(foreign.record, orphan.record), PEPPER
        )
        for key in (foreign.key, orphan.key, orphan.key[:-1], "gj_1_2"):
            with pytest.raises(KeyRefused) as failure:
                authenticator.authenticate(f"Bearer {key}")
            assert key not in failure.value.message

    def test_record_does_not_contain_the_secret(self):
        issued = issue("a", PEPPER)
        secret = issued.key.rpartition("_")[2]
        assert secret not in repr(issued.record)


class TestStripCredentials:
    """Credentials are removed before a request is forwarded."""

    def test_headers_and_parameters_with_credentials_are_removed(self):
        key, other = issue("a", PEPPER).key, issue("b", PEPPER).key
        sent = [
            ("Authorization", f"Bearer {key}"),
            ("PROXY-Authorization", "x"),
            ("cookie", "session=1"),
            ("X-Api-Key", "x"),
            ("api-key", "x"),
            ("X-Custom", f"token={key}"),
            ("X-Other", other),
            (key, "name"),
            ("Accept", "*/*"),
            ("Idempotency-Key", "filing-7"),
        ]
        kept = strip_credentials(sent, key)
        assert kept == [("Accept", "*/*"), ("Idempotency-Key", "filing-7")]

    def test_a_refused_key_of_another_format_is_removed_too(self):
        assert strip_credentials([("q", "old-style"), ("d", "1")], "old-style") == [
            ("d", "1")
        ]
