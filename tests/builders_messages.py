"""Build an example of each message between hosts, and record them.

`python tests/builders_messages.py COMMIT` prints what the code on Python's path sends,
also if that is the code of an earlier landing.
"""

import json
import sys
import types
from enum import StrEnum
from typing import Union, get_args, get_origin, get_type_hints

import msgspec

from burdockmill import explanation
from burdockmill.messages.peer import PeerBatch

try:
    from burdockmill.messages.batch import FIELD_BY_TYPE
except ImportError:
    from burdockmill.clients.peer_client import FIELD_BY_TYPE  # type: ignore[no-redef,attr-defined]
try:
    from burdockmill.relay.messages import RelayedRequest, RelayReply
except ImportError:
    RELAY_TYPES = ()
else:
    RELAY_TYPES = (RelayedRequest, RelayReply)

RAW = b'{"key":1.0}'


def example_of(kind, name=""):
    """Return a value of a type; what each field holds follows from its name."""
    origin, arguments = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        return example_of(next(o for o in arguments if o is not types.NoneType), name)
    if origin is list:
        return [example_of(arguments[0], name)]
    if origin is tuple and arguments[-1] is Ellipsis:
        return (example_of(arguments[0], name),)
    if origin is tuple:
        return tuple(example_of(one, name) for one in arguments)
    examples = {
        str: name,
        int: len(name),
        float: len(name) + 0.5,
        bool: True,
        msgspec.Raw: msgspec.Raw(RAW),
    }
    if kind in examples:
        return examples[kind]
    if issubclass(kind, StrEnum):
        return list(kind)[-1]
    hints = get_type_hints(kind)
    return kind(**{field: example_of(one, field) for field, one in hints.items()})


def words_in(kind, found):
    """Add the words of all enumerations that a type contains."""
    for one in get_args(kind):
        words_in(one, found)
    if not isinstance(kind, type) or get_args(kind):
        return
    if issubclass(kind, StrEnum):
        found[kind.__name__] = [one.value for one in kind]
    elif issubclass(kind, tuple | dict):
        for one in get_type_hints(kind).values():
            words_in(one, found)


def example_batch():
    """Return a batch with one message of each type, as JSON carries it."""
    messages = {field: [example_of(one)] for one, field in FIELD_BY_TYPE.items()}
    return json.loads(msgspec.json.encode({"sender": "entry-1", **messages}))


def ignores_added_items(batch):
    """Return whether the code reads a batch whose messages have more items."""
    try:
        from burdockmill.surfaces._batch_decoder import decode_batch
    except ImportError:
        return False
    longer = {
        field: [[*message, 0] for message in messages]
        for field, messages in batch.items()
        if field != "sender"
    }
    body = json.dumps({"sender": "entry-1", **longer}).encode()
    return not decode_batch(body).put_aside


def record(commit):
    """Return what the code on Python's path sends to other hosts."""
    words = {}
    kinds = [*FIELD_BY_TYPE, *RELAY_TYPES, PeerBatch, explanation.Explanation]
    for kind in kinds:
        words_in(kind, words)
    batch = example_batch()
    return {
        "commit": commit,
        "ignores_added_items": ignores_added_items(batch),
        "words": words,
        "batch": batch,
        "relay": {
            one.__name__: json.loads(msgspec.json.encode(example_of(one)))
            for one in RELAY_TYPES
        },
        "explanation": json.loads(
            msgspec.json.encode(example_of(explanation.Explanation))
        ),
    }


def main():
    """Print the record with one line a message."""
    print("{")
    found = record(sys.argv[1])
    for name, value in found.items():
        end = "" if name == "explanation" else ","
        if isinstance(value, dict) and name != "explanation":
            lines = (f"  {json.dumps(k)}: {json.dumps(v)}" for k, v in value.items())
            print(f' "{name}": {{\n' + ",\n".join(lines) + "\n }" + end)
        else:
            print(f' "{name}": {json.dumps(value)}{end}')
    print("}")


if __name__ == "__main__":
    main()
