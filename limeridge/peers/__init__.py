"""Instances that know each other: membership by gossip, and shares of the records service's limit."""
