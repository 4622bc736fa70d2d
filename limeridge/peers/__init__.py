"""Gossip membership of instances, and their shares of the records service's concurrency limit."""
