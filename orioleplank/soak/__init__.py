"""A soak test: real proxies as processes on one machine, with faults injected from outside.

The soak is a separate tool and no part of a running proxy. It compares the replies that callers
received with what the stand-ins of the instances ran.
"""

from orioleplank.soak._run import add_arguments, run_soaks

__all__ = ["add_arguments", "run_soaks"]
