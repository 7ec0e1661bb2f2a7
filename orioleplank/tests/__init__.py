"""Proofs of what must always hold: the real decisions against stand-ins, under faults."""
