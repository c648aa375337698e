"""Check that the log blocks no caller when its reader stops."""

import os
import time

from burdockmill._line_writer import LineWriter


def test_lines_arrive_whole_and_in_order():
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream, os.fdopen(read_end) as reader:
        writer = LineWriter(stream)
        for number in range(1_000):
            writer.write(f"line {number}\n")
        writer.close()
        stream.close()
        assert reader.read().splitlines() == [f"line {n}" for n in range(1_000)]
    assert writer.left_out == 0


def test_a_stopped_reader_loses_lines_without_blocking_the_writer():
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    writer = LineWriter(stream, queue_chars=100_000)
    started = time.monotonic()
    for number in range(20_000):
        writer.write(f"a line that nobody reads, number {number}\n")
    assert time.monotonic() - started < 2.0
    assert writer.left_out > 10_000
    with os.fdopen(read_end) as reader:
        first = [reader.readline() for _ in range(100)]
    assert all(line.endswith("\n") for line in first)
