"""Fakes of the services and callers that an instance talks to, written from the protocol specification. They
run unchanged on virtual and on real sockets."""
