"""Strategies for answers and headers that no sound upstream sends."""

from hypothesis import strategies as st

# Longer than Python converts to an integer, and than any float.
LONG_NUMBER = "9" * 5_000
numbers = st.one_of(
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(
        ["", "-0", "+1", "1_0", "1e400", "-1e400", "nan", "inf", "0x10", "\u0661"]
    ),
    st.sampled_from([LONG_NUMBER, f"-{LONG_NUMBER}", f"0.{LONG_NUMBER}"]),
)
# As the parser returns them: a stray byte becomes a surrogate.
header_values = st.one_of(
    numbers,
    st.binary(max_size=30).map(lambda one: one.decode("utf-8", "surrogateescape")),
    st.text(max_size=30),
    numbers.map(lambda one: f"timeout={one}"),
)
json_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(min_value=10**20, max_value=10**400),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=10),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=6,
)
nested = st.integers(1, 100_000).map(lambda depth: b"[" * depth)


@st.composite
def spoiled(draw, data):
    """Draw bytes with some of them cut, replaced, removed, added or repeated."""
    spoilt = bytearray(draw(st.sampled_from(data)))
    for _ in range(draw(st.integers(1, 3))):
        if not spoilt:
            break
        at = draw(st.integers(0, len(spoilt) - 1))
        match draw(st.sampled_from(["cut", "replace", "remove", "add", "repeat"])):
            case "cut":
                del spoilt[at:]
            case "replace":
                spoilt[at] = draw(st.integers(0, 255))
            case "remove":
                del spoilt[at : at + draw(st.integers(1, 20))]
            case "add":
                spoilt[at:at] = draw(st.one_of(st.binary(max_size=20), nested))
            case "repeat":
                spoilt[at:at] = spoilt[at : at + draw(st.integers(1, 60))]
    return bytes(spoilt)
