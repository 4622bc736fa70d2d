"""Instances that know each other: membership by gossip, and shares of the ledger's limit."""
