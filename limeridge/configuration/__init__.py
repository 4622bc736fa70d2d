"""Configuration in force: tables of tenants and routes, and the revisions by which they change."""
