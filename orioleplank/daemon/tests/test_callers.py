"""A caller that reads slowly is not read from until it has caught up."""

import asyncio

from testtools import TestCase

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.daemon._callers import _Caller

SHORT_S = 0.01


async def has_room(caller: _Caller) -> bool:
    """Tell whether another request would be read now."""
    try:
        await asyncio.wait_for(caller.wait_for_room(), SHORT_S)
    except TimeoutError:
        return False
    return True


class CallerTest(TestCase):
    def test_reading_stops_at_the_limit_and_goes_on_after(self) -> None:
        async def play() -> list[bool]:
            caller = _Caller(limit=2)
            found = []
            for number in range(2):
                caller.expect_reply()
                found.append(await has_room(caller))
                caller.put(pb.CallerReply(id=str(number)))
            found.append(await has_room(caller))
            await caller.next()
            found.append(await has_room(caller))
            return found

        self.assertEqual([True, True, False, True], asyncio.run(play()))

    def test_stream_ends_once_every_request_is_answered(self) -> None:
        async def play() -> list[str]:
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

        self.assertEqual(["0", "1"], asyncio.run(play()))
