"""Stand-ins for the far ends of an instance, written from the protocol; the same on virtual and real
sockets."""
