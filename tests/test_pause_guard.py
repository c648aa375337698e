from burdockmill._pause_guard import BACKLOG_WINDOW_MS, PauseGuard
from burdockmill.clock import VirtualClock


def test_input_read_after_a_pause_may_have_waited_for_its_duration():
    clock = VirtualClock(1_000.0)
    guard = PauseGuard(clock)
    for _ in range(10):
        clock.advance(50.0)
        assert guard.input_delay_ms() == 0.0
    clock.advance(3_000.0)
    assert guard.input_delay_ms() == 3_000.0
    clock.advance(200.0)
    assert guard.input_delay_ms() == 3_000.0
    for _ in range(10):
        clock.advance(BACKLOG_WINDOW_MS / 5)
        guard.record_heartbeat()
    assert guard.input_delay_ms() == 0.0
    assert guard.pause_count == 2
