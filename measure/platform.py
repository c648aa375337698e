"""Measure the reads of the platform when hosts are partitioned from each other."""

from __future__ import annotations

from measure._platform_reads import most_reads_partitioned
from measure.records import Figure, write_records

SEED = 11
MEMBERS = 6_100
DOMAINS = 21
UNPACED_READS_PER_SECOND_PER_HOST = 200.0


def main() -> None:
    """Record the most reads in a second of 6,100 hosts that all read on their own."""
    reads = most_reads_partitioned(MEMBERS, DOMAINS, SEED)
    name = "platform.reads_per_second_cut_off_6100"
    baseline = MEMBERS * UNPACED_READS_PER_SECOND_PER_HOST
    write_records("platform", [Figure(name, reads, "1/s", baseline, "< 2000", SEED)])


if __name__ == "__main__":
    main()
