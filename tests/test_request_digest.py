"""Check by what a request is known when it comes again."""

import pytest

from burdockmill.forwarding.request_digest import digest_of
from tests.builders_forwarding import make_request


def test_a_request_that_comes_again_has_the_same_digest():
    first = make_request("r-1", body=b"q")
    again = make_request("r-2", received_ms=9_000.0, deadline_ms=50.0, body=b"q")
    assert digest_of(first) == digest_of(again)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "POST"},
        {"host": "other.example"},
        {"target": "/overlap/2f?page=2"},
        {"caller": "Bearer other"},
        {"body": b"other"},
    ],
)
def test_another_request_has_another_digest(change):
    assert digest_of(make_request(**change)) != digest_of(make_request())


def test_the_same_bytes_divided_otherwise_have_another_digest():
    one = make_request(target="/overlap/2f", caller="x")
    other = make_request(target="/overlap/2fx", caller="")
    assert digest_of(one) != digest_of(other)
