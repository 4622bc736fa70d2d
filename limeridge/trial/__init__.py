"""Trials: many real processes of the program with faults injected between them, and the same files on
virtual members."""
