"""Read what earlier landings send, and compare it with what is sent today."""

import json
import tomllib
from pathlib import Path

import msgspec
import pytest

from burdockmill.explanation import Explanation
from burdockmill.messages.batch import FIELD_BY_TYPE, messages_in
from burdockmill.relay.messages import RelayedRequest, decode_reply, decode_request
from burdockmill.surfaces._batch_decoder import decode_batch
from tests.builders_messages import record

ROOT = Path(__file__).parents[1]
RECORDS = [
    json.loads(path.read_text())
    for path in sorted((ROOT / "tests" / "data").glob("messages_*.json"))
]
PRODUCTION = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]


def begins_like(sent, recorded):
    """Return whether arrays hold what was recorded, and more only at their ends."""
    if isinstance(sent, list) and isinstance(recorded, list):
        return len(sent) >= len(recorded) and all(
            map(begins_like, sent[: len(recorded)], recorded)
        )
    return sent == recorded


def is_readable(sent, recorded, ignores_added_items):
    return begins_like(sent, recorded) if ignores_added_items else sent == recorded


def as_json(message):
    return json.loads(msgspec.json.encode(message))


def id_of(found):
    return found["commit"][:7]


@pytest.fixture(params=RECORDS, ids=id_of)
def recorded(request):
    return request.param


def test_a_batch_of_an_earlier_landing_is_read_as_it_was_sent(recorded):
    decoded = decode_batch(json.dumps(recorded["batch"]).encode())
    assert not decoded.put_aside
    for message in messages_in(decoded.batch):
        [sent] = recorded["batch"][FIELD_BY_TYPE[type(message)]]
        assert begins_like(as_json(message), sent)
    assert len(messages_in(decoded.batch)) == len(recorded["batch"]) - 1


def test_a_request_handed_over_by_an_earlier_landing_is_read_as_it_was_sent(recorded):
    for name, sent in recorded["relay"].items():
        decode = decode_request if name == RelayedRequest.__name__ else decode_reply
        head, body = decode(json.dumps(sent).encode() + b"\nits\nbody")
        assert begins_like(as_json(head), sent)
        assert body == b"its\nbody"


def test_an_explanation_of_an_earlier_landing_is_read_as_it_was_sent(recorded):
    sent = recorded["explanation"]
    assert as_json(msgspec.convert(sent, Explanation)) == sent


def test_the_last_release_is_recorded():
    assert PRODUCTION in {one["commit"] for one in RECORDS}


def test_the_last_release_can_read_what_is_sent_today():
    [last] = [one for one in RECORDS if one["commit"] == PRODUCTION]
    ignores_added_items = last["ignores_added_items"]
    today = record("")
    for field, messages in last["batch"].items():
        sent = today["batch"][field]
        assert is_readable(sent, messages, ignores_added_items), field
    for name, head in last["relay"].items():
        assert is_readable(today["relay"][name], head, ignores_added_items), name
    [decision] = today["explanation"].pop("decisions")
    [known] = last["explanation"].pop("decisions")
    assert known.items() <= decision.items()
    assert last["explanation"].items() <= today["explanation"].items()
    for name, words in last["words"].items():
        assert is_readable(today["words"][name], words, ignores_added_items), name


def test_what_is_sent_today_can_grow():
    assert record("")["ignores_added_items"]
