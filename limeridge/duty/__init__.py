"""Duties that only one instance holds at a time: leases by majority without a disk, fencing tokens."""
