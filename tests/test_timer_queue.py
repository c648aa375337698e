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


def test_keys_that_a_failed_run_popped_become_due_one_by_one():
    timers = TimerQueue()
    for key in ("kept", "lost", "lost too"):
        timers.schedule(key, 1.0)
    timers.begin_run()
    assert timers.pop_due(1.0) == ["kept", "lost", "lost too"]
    timers.schedule("kept", 50.0)
    timers.restore_popped(100.0, 20.0)
    assert timers.pop_due(60.0) == ["kept"]
    assert timers.pop_due(100.0) == ["lost"]
    assert timers.pop_due(120.0) == ["lost too"]


def test_only_the_keys_of_the_current_run_are_restored():
    timers = TimerQueue()
    timers.schedule("handled", 1.0)
    timers.pop_due(1.0)
    timers.begin_run()
    timers.restore_popped(100.0, 20.0)
    assert timers.next_due_ms() is None
