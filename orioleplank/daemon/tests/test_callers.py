"""Back-pressure on a caller that reads its replies slowly, and the end of its stream."""

import asyncio

from testtools import TestCase

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.daemon._callers import _Caller

CAPACITY_TIMEOUT_S = 0.01


async def has_capacity(caller: _Caller) -> bool:
    """Return whether another request of the caller would be read now."""
    try:
        await asyncio.wait_for(caller.wait_for_capacity(), CAPACITY_TIMEOUT_S)
    except TimeoutError:
        return False
    return True


class CallerTest(TestCase):
    def test_requests_are_not_read_while_the_limit_of_queued_replies_is_reached(self) -> None:
        async def run_caller() -> list[bool]:
            caller = _Caller(limit=2)
            capacities = []
            for number in range(2):
                caller.expect_reply()
                capacities.append(await has_capacity(caller))
                caller.put(pb.CallerReply(id=str(number)))
            capacities.append(await has_capacity(caller))
            await caller.next()
            capacities.append(await has_capacity(caller))
            return capacities

        self.assertEqual([True, True, False, True], asyncio.run(run_caller()))

    def test_stream_ends_when_reading_has_ended_and_every_request_is_answered(self) -> None:
        async def run_caller() -> list[str]:
            caller = _Caller(limit=10)
            for number in range(2):
                caller.expect_reply()
                caller.put(pb.CallerReply(id=str(number)))
            caller.put(pb.CallerReply(move=True))
            caller.end_reading()
            ids = []
            while (reply := await caller.next()) is not None:
                ids.append(reply.id)
            return ids

        self.assertEqual(["0", "1"], asyncio.run(run_caller()))
