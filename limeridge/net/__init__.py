"""The sockets of a real service instance. Nothing is decided here."""
