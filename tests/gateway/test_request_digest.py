"""Requests that are sent again can be recognised."""

from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.request import create_gateway_request


def compute_digest(body=b"body", request_id=b"r1", **fields) -> str:
    scope = {
        "method": "POST",
        "raw_path": b"/q/x",
        "query_string": b"",
        "headers": [
            (b"host", fields.pop("host", b"quotes.example")),
            (b"x-request-id", request_id),
        ],
    }
    request = create_gateway_request(scope | fields, HeaderNames(), body)
    return request.compute_digest()


def test_request_sent_again_has_the_same_digest():
    assert compute_digest() == compute_digest(request_id=b"r2")


def test_other_requests_have_other_digests():
    digests = {
        compute_digest(),
        compute_digest(b"other"),
        compute_digest(host=b"other.example"),
        compute_digest(raw_path=b"/q/y"),
        compute_digest(query_string=b"page=2"),
        compute_digest(method="GET"),
    }
    assert len(digests) == 6
