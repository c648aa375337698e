"""Check a queue of timers against a plain table of due times."""

import math

from hypothesis import given, strategies as st

from burdockmill.tables.timer_queue import TimerQueue

KEYS = st.sampled_from("abcd")
TIMES_MS = st.floats(0.0, 100.0)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("schedule"), KEYS, TIMES_MS),
        st.tuples(st.just("cancel"), KEYS, st.just(0.0)),
        st.tuples(st.just("pop"), st.just(""), TIMES_MS),
    )
)


@given(STEPS, st.booleans())
def test_timers_fire_in_order_and_none_before_the_earliest_time(steps, asks_next):
    queue, due_by_key = TimerQueue(), {}
    for name, key, time_ms in steps:
        match name:
            case "schedule":
                queue.schedule(key, time_ms)
                due_by_key[key] = time_ms
            case "cancel":
                queue.cancel(key)
                due_by_key.pop(key, None)
            case "pop":
                expired = [one for one in due_by_key if due_by_key[one] <= time_ms]
                popped = queue.pop_due(time_ms)
                assert sorted(popped) == sorted(expired)
                times_ms = [due_by_key.pop(one) for one in popped]
                assert times_ms == sorted(times_ms)
        first_ms = min(due_by_key.values(), default=math.inf)
        assert queue.earliest_ms <= first_ms
        assert queue.is_due(first_ms) is bool(due_by_key)
        if asks_next:
            assert queue.next_due_ms() == (first_ms if due_by_key else None)
            assert queue.earliest_ms == first_ms
