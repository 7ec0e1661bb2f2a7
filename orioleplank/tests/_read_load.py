"""A steady load of reads and writes on a simulated cluster, and what became of each read."""

from __future__ import annotations

from dataclasses import dataclass, field

from orioleplank.decision.session import FailureCode, Read, Reply
from orioleplank.tests._gateway_cluster import JOBS, GatewayCluster
from orioleplank.tests._gateway_helpers import keep_writing

READS_PER_S = 200
# Pause between two writes of the one writer, in seconds.
WRITE_PAUSE_S = 0.04


@dataclass(slots=True)
class ReadRecord:
    """One read: when it was sent and answered, in seconds, and its reply."""

    sent_at: float
    answered_at: float = 0.0
    reply: Reply | None = None

    @property
    def elapsed(self) -> float:
        """Return the seconds from the request to the reply."""
        return self.answered_at - self.sent_at


@dataclass(slots=True)
class ReadLoad:
    """Sends reads at a steady rate, each in a session of its own, to the proxies in turn."""

    cluster: GatewayCluster
    database: str = JOBS
    reads_per_s: int = READS_PER_S
    reads: list[ReadRecord] = field(default_factory=list)
    is_running: bool = True

    def start(self) -> None:
        """Begin to write and to read."""
        writer = self.cluster.open_session(self.cluster.proxies[0], JOBS)
        keep_writing(self.cluster, writer, pause_s=WRITE_PAUSE_S)
        self._send_read()

    def stop(self) -> None:
        """Send no further reads."""
        self.is_running = False

    def _send_read(self) -> None:
        if not self.is_running:
            return
        simulator = self.cluster.simulator
        node = self.cluster.proxies[len(self.reads) % len(self.cluster.proxies)]
        record = ReadRecord(simulator.now)
        self.reads.append(record)
        caller = self.cluster.open_session(node, self.database)

        def handle_reply(reply: Reply) -> None:
            record.reply, record.answered_at = reply, simulator.now
            simulator.call_later(0.0, caller.close)

        caller.on_reply = handle_reply
        self.cluster.send_request(caller, Read("k"))
        simulator.call_later(1.0 / self.reads_per_s, self._send_read)

    def sent_between(self, start: float, end: float) -> list[ReadRecord]:
        """Return the reads that were sent in a time."""
        return [read for read in self.reads if start <= read.sent_at < end]


def served(reads: list[ReadRecord]) -> list[ReadRecord]:
    """Return the reads that were served."""
    return [read for read in reads if read.reply is not None and read.reply.failure is None]


def refused(reads: list[ReadRecord], code: FailureCode = FailureCode.BUSY) -> list[ReadRecord]:
    """Return the reads that were refused with a code."""
    return [
        read
        for read in reads
        if read.reply is not None
        and read.reply.failure is not None
        and read.reply.failure.code is code
    ]


def worst_time(reads: list[ReadRecord]) -> float:
    """Return the longest time to an answer, in seconds."""
    return max(read.elapsed for read in reads)
