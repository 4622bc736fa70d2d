"""Measurements of what limeridge costs as its fleet grows, and the model of capacity built on them."""
