"""Spoil what hosts and upstreams send, so that it can be no valid message."""

from __future__ import annotations

import random

BATCH_BEGIN = b"POST /peer/v1/batch "
ANSWER_BEGIN = b"HTTP/1.1 200 "
STAMP = b"Server-Stamp: "
HEAD_END = b"\r\n\r\n"
CHANCE = 0.3
GARBLED_BATCHES, GARBLED_ANSWERS = "garble_batches", "garble_answers"


def garble(how: str, chunk: bytes, rng: random.Random) -> tuple[bytes, bool]:
    """Return a chunk, perhaps spoiled, and whether the connection ends after it."""
    if rng.random() >= CHANCE:
        return chunk, False
    if how == GARBLED_BATCHES and chunk.startswith(BATCH_BEGIN):
        return _spoil_batch(chunk, rng)
    if how == GARBLED_ANSWERS and chunk.startswith(ANSWER_BEGIN):
        return _spoil_answer(chunk, rng)
    return chunk, False


def _spoil_batch(chunk: bytes, rng: random.Random) -> tuple[bytes, bool]:
    """Spoil bytes of the body, nest it deeply, or cut it; its length stays true."""
    head, end, body = chunk.partition(HEAD_END)
    if not body:
        return chunk, False
    way = rng.randrange(3)
    if way == 0:
        at = rng.randrange(len(body))
        return head + end + body[:at] + b"\xff" + body[at + 1 :], False
    if way == 1:
        return head + end + b"[" * len(body), False
    return chunk[: rng.randrange(len(head), len(chunk))], True


def _spoil_answer(chunk: bytes, rng: random.Random) -> tuple[bytes, bool]:
    """Put a control character into the stamp, or cut the head."""
    head = chunk.partition(HEAD_END)[0]
    at = head.find(STAMP)
    if at >= 0 and rng.random() < 0.5:
        at += len(STAMP) + 1
        control = rng.choice((b"\x00", b"\x01", b"\x7f", b"\x0b"))
        return chunk[:at] + control + chunk[at + 1 :], False
    return chunk[: rng.randrange(len(head))], True
