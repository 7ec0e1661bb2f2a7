"""A fault soak: real proxies as processes on one machine, and faults from outside them.

A tool apart from the product's processes. It checks what callers were told against what the
stand-ins of the instances ran.
"""

from orioleplank.soak._run import add_arguments, run_soaks

__all__ = ["add_arguments", "run_soaks"]
