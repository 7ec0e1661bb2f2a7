"""Names under which the daemon's services are registered in the kernel."""

from __future__ import annotations

from typing import Final

TIMER: Final = "timer"
DECISIONS: Final = "decisions"
CALLERS: Final = "callers"
UPSTREAMS: Final = "upstreams"
PLATFORM: Final = "platform"
PEERS: Final = "peers"
ADMIN: Final = "admin"
EVENTS: Final = "events"
