"""Reports in metrics and in the log which version of the configuration is in force."""

from __future__ import annotations

from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._metrics import Metrics

# Time for which a newer version is known from which it is logged that it is not in force yet.
BEHIND_LOG_AFTER_S = 1.0
# Interval of these log lines.
BEHIND_LOG_INTERVAL_S = 1.0


class RouteReports:
    """Sets the gauges of the configuration, and logs for how long this proxy has been behind."""

    def __init__(self, cluster_state: ClusterState, event_log: EventLog, metrics: Metrics) -> None:
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._metrics = metrics
        self._logged_at = float("-inf")

    def update(self) -> None:
        """Set the gauges to the present values, and log a line while this proxy is behind."""
        state, progress = self._cluster_state, self._cluster_state.route_progress
        pending = progress.first_pending
        behind_s = 0.0 if pending is None else state.now() - pending.heard_at
        newest = max(state.routes.version, progress.newest_version)
        self._metrics.set_configuration(state.routes.version, newest, behind_s)
        if pending is None or behind_s < BEHIND_LOG_AFTER_S:
            return
        if state.now() - self._logged_at < BEHIND_LOG_INTERVAL_S:
            return
        self._logged_at = state.now()
        self._event_log.log_event(
            EventType.ROUTES_BEHIND,
            version=state.routes.version,
            newest=newest,
            heard_of=pending.version,
            heard_from=pending.peer,
            behind=round(behind_s, 3),
        )
