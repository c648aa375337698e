"""Build exchanges whose bytes arrive over time, and play their reading."""

from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.clients.receiver import READ_BYTES, Receiver

TICK_S = 0.01


class SimulatedReceiver(Receiver):
    """Receive an answer: all but its end at once, the end after `end_after_s`.

    Without a size the answer has no end, and its bytes always wait to be read. A slow
    one sends a byte at a time.
    """

    def __init__(
        self, size_bytes=None, end_after_s=0.0, states_size=True, is_slow=False
    ):
        self.is_slow = is_slow
        self.size_bytes = size_bytes
        self.end_at_tick = round(end_after_s / TICK_S)
        self.states_size = states_size
        self.received_bytes = 0
        self.stated_bytes = 0
        self.is_held = False
        self.was_cut_off = False
        self.arrived_bytes = 0

    @property
    def pending_bytes(self):
        return self.arrived_bytes - self.received_bytes

    @property
    def is_over(self):
        return self.was_cut_off or self.received_bytes == self.size_bytes

    def hold(self):
        self.is_held = True

    def resume(self):
        self.is_held = False

    def cut_off(self):
        self.was_cut_off = True

    def arrive(self, tick):
        if self.is_slow:
            self.arrived_bytes = self.received_bytes + 1
        elif self.size_bytes is None:
            self.arrived_bytes = self.received_bytes + READ_BYTES
        else:
            self.arrived_bytes = self.size_bytes - (tick < self.end_at_tick)


class Reading:
    """Play an event loop that reads each connection once a tick, unless it is held."""

    def __init__(self, limit_bytes):
        self.timers = []
        self.budget = ReceiveBudget(
            limit_bytes, lambda _, callback: self.timers.append(callback)
        )
        self.open = []
        self.peak_bytes = 0
        self.tick = 0

    def start(self, receivers):
        for receiver in receivers:
            self.open.append(receiver)
            self.budget.start(receiver)

    def play(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.tick += 1
            due, self.timers = self.timers, []
            for callback in due:
                callback()
            for receiver in self.open:
                self._read(receiver)
            for receiver in [one for one in self.open if one.is_over]:
                self.open.remove(receiver)
                self.budget.end(receiver)

    def _read(self, receiver):
        receiver.arrive(self.tick)
        size_bytes = min(READ_BYTES, receiver.pending_bytes)
        if receiver.is_held or receiver.was_cut_off or not size_bytes:
            return
        receiver.received_bytes += size_bytes
        self.budget.add(receiver, size_bytes)
        if receiver.size_bytes and receiver.states_size:
            receiver.stated_bytes = receiver.size_bytes
            self.budget.expect(receiver)
        self.peak_bytes = max(self.peak_bytes, self.budget.received_bytes)
