"""The model of capacity at one size, put together from the rows of all roles."""

from __future__ import annotations

from limeridge.scale import failures, instance_rows, shared_rows
from limeridge.scale.evidence import Evidence
from limeridge.scale.model import Model
from limeridge.scale.target import Target


def capacity(target: Target, evidence: Evidence) -> Model:
    """What each role needs, by the results that there are."""
    return Model(
        target,
        (*instance_rows.rows(target, evidence), *shared_rows.rows(target, evidence)),
        (*instance_rows.states(target, evidence), *shared_rows.states(target, evidence)),
        (*instance_rows.messages(target, evidence), *shared_rows.messages(target, evidence)),
        failures.all_failures(target, evidence),
    )
