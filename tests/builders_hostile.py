"""Generate values, bytes and headers that another writer or a faulty peer may send."""

import json

from hypothesis import strategies as st

from tests.builders_platform import entry_of

ADDRESS = "127.0.0.1:9"
DIGIT_COUNTS = (20, 400, 5_000)
NUMERIC_FIELDS = ("slots", "cold-left-ms", "seq-num", "born")
ODD_TEXTS = (
    "",
    "\0",
    "a\r\nb: c",
    "\ud800",
    "\U0001f600",
    "\u202e\u2028",
    "e\u0301" * 50,
    "x" * 100_000,
)
ODD_NUMBERS = ("-1", "0", "1e308", "1e400", "-1e400", "NaN", "Infinity", "2.5", "true")


def raw_entry(**raw):
    """Return a good entry with some fields as raw JSON text; "_" stands for "-"."""
    fields = {name: json.dumps(value) for name, value in entry_of("c", ADDRESS).items()}
    fields |= {name.replace("_", "-"): text for name, text in raw.items()}
    return (
        "{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}"
    ).encode()


def nested(depth, closes=True, opening="[", closing="]"):
    text = opening * depth
    return text + (closing * depth if closes else "")


def odd_entries():
    """Return odd entries by their kind: the key, and the value's bytes."""
    values = {
        "brackets that never close": b'{"labels":' + nested(4_000, False).encode(),
        "bytes that are no text": b"\xff\xfe\x00",
        "nothing": b"",
        "null": b"null",
        "a list": b"[]",
        "a number": b"9" * 5_000,
        "huge": b"x" * 1_000_000,
        "huge service": raw_entry(service=json.dumps("s" * 500_000)),
        "cut": raw_entry()[:40],
        "doubled": raw_entry() * 2,
        "duplicate fields": raw_entry()[:-1] + b',"slots":null,"state":[]}',
        "byte order mark": b"\xef\xbb\xbf" + raw_entry(),
        "UTF-16": raw_entry().decode().encode("utf-16"),
        "missing fields": b'{"service":"c"}',
        "unknown state": raw_entry(state='"asleep"'),
        "absurd time": raw_entry(born="253402300800000000"),
        "time before 1970": raw_entry(born="-1"),
    }
    for depth in (100, 900, 5_000):
        values[f"nested {depth} deep"] = raw_entry(labels=nested(depth))
        objects = nested(depth, False, '{"a":') + "1" + "}" * depth
        values[f"objects {depth} deep"] = raw_entry(labels=objects)
    for field in NUMERIC_FIELDS:
        for digits in DIGIT_COUNTS:
            values[f"{field} of {digits} digits"] = raw_entry(**{field: "9" * digits})
        for number in ODD_NUMBERS:
            values[f"{field} is {number}"] = raw_entry(**{field: number})
    for address in (
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "256.0.0.1:80",
        "[::1]:99999",
        "nowhere",
        "0.0.0.0:9",
        "127.0.0.1:9\r\nX: y",
        "",
    ):
        values[f"address {address!r}"] = raw_entry(address=json.dumps(address))
    for field in ("service", "zone", "version", "state"):
        for number, text in enumerate(ODD_TEXTS):
            odd = json.dumps(text)
            values[f"{field} is odd text {number}"] = raw_entry(**{field: odd})
        for other in ("null", "5", "[]", "{}"):
            values[f"{field} is {other}"] = raw_entry(**{field: other})
    entries = {
        kind: (f"servers/i-odd-{number}", value)
        for number, (kind, value) in enumerate(values.items())
    }
    good = raw_entry()
    for number, odd_id in enumerate(
        ("", " ", "a b", "i\r\nX: y", "i/../x", "é", "\U0001f600", "i" * 190, "\ud800")
    ):
        entries[f"odd id {number}"] = (f"servers/{odd_id}", good)
    for key in ("servers", "Servers/i", "server/i", "op/config2", "op/", "other", ""):
        entries[f"look-alike key {key!r}"] = (key, good)
    return entries


def odd_texts():
    any_text = st.text(st.characters(), max_size=40)
    return st.one_of(st.sampled_from(ODD_TEXTS[:-1]), any_text)


def odd_numbers():
    return st.one_of(
        st.integers(),
        st.integers(300, 5_000).map(lambda digits: 10 ** min(digits, 4_299)),
        st.floats(),
    )


def json_values():
    """Return any JSON value, some of them nested."""
    leaves = st.one_of(st.none(), st.booleans(), odd_numbers(), odd_texts())
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=4),
            st.dictionaries(odd_texts(), inner, max_size=4),
        ),
        max_leaves=12,
    )


def deep_json_bytes():
    return st.builds(
        lambda field, depth, closes: f"{field}{nested(depth, closes)}".encode(),
        st.sampled_from(("", '{"labels":', '{"items":[{"labels":', '{"events":')),
        st.integers(1, 6_000),
        st.booleans(),
    )


@st.composite
def spoiled(draw, good):
    """Return good bytes with some of them changed, cut or doubled."""
    data = bytearray(good)
    for _ in range(draw(st.integers(1, 3))):
        at = draw(st.integers(0, max(0, len(data) - 1)))
        match draw(st.sampled_from(("change", "cut", "insert", "double"))):
            case "change" if data:
                data[at] = draw(st.integers(0, 255))
            case "cut":
                del data[at:]
            case "insert":
                data[at:at] = draw(st.binary(max_size=8))
            case "double":
                data += data[at:]
    return bytes(data)


@st.composite
def mistyped(draw, good):
    """Return the JSON text of an object with fields missing, odd or of another type."""
    changed = dict(good)
    names = st.sampled_from(sorted(changed))
    for name in draw(st.lists(names, min_size=1, max_size=3)):
        if draw(st.booleans()):
            changed[name] = draw(json_values())
        else:
            changed.pop(name, None)
    changed |= draw(st.dictionaries(odd_texts(), json_values(), max_size=2))
    return json.dumps(changed).encode()


def hostile_bytes(good):
    """Return bytes to send in place of a good JSON object."""
    text = json.dumps(good).encode()
    return st.one_of(
        st.binary(max_size=200),
        spoiled(text),
        mistyped(good),
        deep_json_bytes(),
        json_values().map(lambda value: json.dumps(value).encode()),
    )


def header_values():
    """Return header values as bytes: odd, long, or numbers of any length."""
    return st.one_of(
        st.binary(max_size=60),
        st.integers(1, 6_000).map(lambda digits: b"9" * digits),
        st.sampled_from([b"", b" ", b"-1", b"1e9", b"\xd9\xa3", b"NaN"]),
    )
