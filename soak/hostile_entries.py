"""Write entries to the store as other writers do; none names an upstream to use."""

from __future__ import annotations

import asyncio
import json
import random

from soak.plan import Step
from soak.soak_client import now_ms
from soak.store_client import StoreClient
from tests.builders_platform import entry_of

NESTINGS = (600, 5_000)
GAP_S = 0.1
REMOVED_CHANCE = 0.3
BIG_NUMBER = "1" + "0" * 400
ODD_VALUES = ("null", "true", "-1", "1e400", BIG_NUMBER, "[]", "{}", '"\\ud800"', '""')
ODD_PORTS = ("0", "-1", "65536", "99999", "1e3", "x", "", BIG_NUMBER)
# The store takes keys of at most 200 bytes.
ODD_NAMES = ("", "/", "a/b", "é\u2028", "x" * 190, "..", "%2F", "null", " ")


async def write_entries(store: StoreClient, seed: int, step: Step) -> None:
    """Write odd entries for the time of a step, and remove some of them."""
    rng = random.Random(f"entries {seed} {step.at_ms}")
    until_ms = now_ms() + step.for_ms
    while now_ms() < until_ms:
        key, data = draw_entry(rng)
        await store.put_bytes(key, data)
        if rng.random() < REMOVED_CHANCE:
            await store.remove(key)
        await asyncio.sleep(GAP_S)


def draw_entry(rng: random.Random) -> tuple[str, bytes]:
    """Return the key and the bytes of an entry that can't be used."""
    name = f"odd-{rng.randrange(40)}{rng.choice(ODD_NAMES)}"
    prefix = rng.choice(("servers/", "servers/", "servers/", "other/", "op/", ""))
    return prefix + name[:190], rng.choice(_WAYS)(rng)


def _nested(rng: random.Random) -> bytes:
    bracket = rng.choice((b"[", b'{"a":'))
    return bracket * rng.choice(NESTINGS)


def _odd_value(rng: random.Random) -> bytes:
    entry = _entry()
    field = rng.choice(list(entry))
    entry.pop(field)
    rest = json.dumps(entry)[1:]
    return f'{{"{field}":{rng.choice(ODD_VALUES)},{rest}'.encode()


def _missing(rng: random.Random) -> bytes:
    entry = _entry()
    entry.pop(rng.choice(("service", "address", "state")))
    return json.dumps(entry).encode()


def _odd_port(rng: random.Random) -> bytes:
    address = f"127.0.0.1:{rng.choice(ODD_PORTS)}"
    return json.dumps(_entry() | {"address": address}).encode()


def _spoiled(rng: random.Random) -> bytes:
    data = bytearray(json.dumps(_entry()).encode())
    for _ in range(rng.randrange(1, 9)):
        data[rng.randrange(len(data))] = rng.choice((0, 0xFF, 0xC3, 0x22))
    return bytes(data[: rng.randrange(len(data))])


def _entry() -> dict[str, object]:
    """Return an entry of a service that no route names."""
    return entry_of("nobody", "127.0.0.1:1", zone="waw-a", state="ready", born=1)


_WAYS = (_nested, _odd_value, _missing, _odd_port, _spoiled)
