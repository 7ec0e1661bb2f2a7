"""A working day of both deployments over real processes, and an audit of every answer."""

from orioleplank.workday._audit import Audit, audit_day
from orioleplank.workday._day import Day, DayOptions
from orioleplank.workday._observation import Observations, Outcome, Sample

__all__ = ["Audit", "Day", "DayOptions", "Observations", "Outcome", "Sample", "audit_day"]
