"""Deterministic simulation: the real instances on a virtual clock and network, faults and order from one
seed."""
