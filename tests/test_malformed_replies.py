"""Check hand-overs and replies whose values no head may contain."""

import msgspec
import pytest

from burdockmill.errors import BadRequestError
from burdockmill.relay.messages import (
    CatalogVersion,
    RelayReply,
    ReplyKind,
    decode_reply,
    decode_request,
    encode,
    relayed_request,
)
from tests.builders_forwarding import make_request

CATALOG = CatalogVersion(7, 1, 40)
ANSWER = RelayReply(ReplyKind.ANSWER, CATALOG, stamps=("st.1",))
MALFORMED_REPLIES = [
    ANSWER._replace(headers=(("Odd", "a\x07"),)),
    ANSWER._replace(headers=(("O\ndd", "a"),)),
    ANSWER._replace(stamps=("s\x7f",)),
    ANSWER._replace(stamps=()),
    ANSWER._replace(stamps=("",)),
    ANSWER._replace(status=199),
    ANSWER._replace(status=-200),
    ANSWER._replace(status=10**30),
    ANSWER._replace(kind=ReplyKind.MERGED, stamps=("st.1", "")),
    ANSWER._replace(kind=ReplyKind.MERGED, stamps=()),
    RelayReply(ReplyKind.ERROR, CATALOG, retry_after_ms=-1),
    RelayReply(ReplyKind.ERROR, CATALOG, retry_after_ms=10**400),
]


@pytest.mark.parametrize("reply", MALFORMED_REPLIES)
def test_a_reply_that_cannot_be_passed_on_is_malformed(reply):
    with pytest.raises(msgspec.MsgspecError):
        decode_reply(encode(reply, b""))


@pytest.mark.parametrize("data", [b"\xff\xfe\n", b'{"a":"\xff"}', b"[" * 100_000])
def test_bytes_that_are_no_reply_are_malformed(data):
    with pytest.raises(msgspec.MsgspecError):
        decode_reply(data)


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": "a\x07"},
        {"method": "GET\r\n"},
        {"headers": (("Odd", "a\nb"),)},
    ],
)
def test_a_hand_over_that_cannot_be_sent_on_is_refused(changes):
    head = relayed_request(make_request(), "e1", 7)._replace(**changes)
    with pytest.raises(BadRequestError):
        decode_request(encode(head, b""))


def test_an_answer_that_can_be_passed_on_is_unchanged():
    answer = ANSWER._replace(headers=(("Odd", "a\tb \u00e9"),))
    reply, body = decode_reply(encode(answer, b"body"))
    assert (reply, body) == (answer, b"body")
