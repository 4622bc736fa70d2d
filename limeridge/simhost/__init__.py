"""Hosts the decision module on the simulator's wire. Nothing is decided here."""
