"""Check that a damaged entry never makes an upstream freer than it was."""

import json
from base64 import b64encode
from collections import Counter
from itertools import permutations

import pytest
from hypothesis import given, strategies as st

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.store_items import StoreItems
from burdockmill.platform.store_pages import Item
from burdockmill.tables.catalog import Catalog
from tests.builders_forwarding import make_delta, make_registration
from tests.builders_platform import entry_of

KEY = "servers/u-1"
DRAINING = entry_of("c", "127.0.0.1:9", state="draining")
READY = entry_of("c", "127.0.0.1:9")
DAMAGE = st.one_of(
    st.none(),
    st.booleans(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
    st.sampled_from([0, -1, 0.5, 10**30]),
)


class Reader:
    """Apply entries of the store to a catalog, one revision after the other."""

    def __init__(self):
        self.catalog = Catalog()
        self.revision = 0
        self._items = StoreItems(Counter())

    def write(self, key, entry):
        self.revision += 1
        value = b64encode(json.dumps(entry).encode()).decode()
        item = Item(key=key, value=value, rev=self.revision)
        position = StorePosition(0, self.revision)
        delta = self._items.build_delta(self.revision - 1, position, [item])
        self.catalog.apply(delta, 0.0)
        self.catalog.remove_departed(0.0)

    @property
    def known(self):
        return self.catalog.registration_by_upstream.get("u-1")


def is_usable(reader):
    return reader.known is not None and not reader.known.draining


# Guards against a draining upstream that gets requests again, as an entry without the
# time of its start was taken for another incarnation of it.
@given(field=st.sampled_from(sorted(READY)), damage=st.one_of(st.just(...), DAMAGE))
def test_no_damaged_entry_brings_a_draining_upstream_back(field, damage):
    entry = {name: value for name, value in READY.items() if name != field}
    if damage is not ...:
        entry[field] = damage
    reader = Reader()
    reader.write(KEY, DRAINING)
    drained = reader.known
    reader.write(KEY, entry)
    known = reader.known
    if known is not None and known.started_ms == drained.started_ms:
        # The damage changed nothing that matters, such as how cold the upstream is.
        assert field in {
            "version",
            "zone",
            "service",
            "slots",
            "cold-left-ms",
            "seq-num",
        }
    else:
        assert not is_usable(reader)
    reader.write(KEY, DRAINING)
    assert Incarnation.of(reader.known) == Incarnation.of(drained)
    assert reader.known.draining


def test_a_new_upstream_without_a_start_is_not_used_beside_others_with_theirs():
    reader = Reader()
    reader.write("servers/u-2", READY)
    unstated = {name: value for name, value in READY.items() if name != "born"}
    reader.write(KEY, unstated)
    assert not is_usable(reader)


def test_upstreams_of_a_platform_that_states_no_starts_are_used():
    unstated = {name: value for name, value in READY.items() if name != "born"}
    reader = Reader()
    reader.write("servers/u-2", unstated)
    reader.write(KEY, unstated)
    assert is_usable(reader)
    reader.write(KEY, unstated | {"state": "draining"})
    assert not is_usable(reader)


@pytest.mark.parametrize("order", [*permutations(range(3))])
def test_hosts_agree_on_an_entry_without_a_start_in_whatever_order_it_arrives(order):
    stated = make_registration("u-2")
    unstated = make_registration("u-1", started_ms=0)
    deltas = (
        make_delta(4, stated),
        make_delta(5, unstated, base=4),
        make_delta(5, stated, unstated, is_whole=True),
    )
    catalog = Catalog()
    for number in order:
        catalog.apply(deltas[number], 0.0)
    catalog.remove_departed(0.0)
    assert set(catalog.registration_by_upstream) == {"u-2"}
