"""Class definitions: what operators set, as one versioned document.

Operators state targets only. Weights, endpoint lists and addresses are not part
of the document.
"""

from dataclasses import dataclass, field

NO_VERSION = 0


@dataclass(frozen=True, slots=True)
class ClassDefinition:
    """A class of work and its target.

    ``answers_within_ms`` is to hold for the share ``quantile`` of its tasks;
    ``claims_at_least`` is the share of the fleet (0..1) it may claim when the
    fleet is short; ``repeatable`` is the default for its requests.
    """

    name: str
    answers_within_ms: int
    quantile: float = 0.99
    claims_at_least: float = 0.0
    repeatable: bool = False
    team: str = ""
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    timeout_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """A team's limit: the largest share of the fleet (0..1) it may hold."""

    name: str
    holds_at_most: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassDocument:
    """One accepted version of all class definitions and team quotas."""

    version: int
    change_id: str
    author: str
    classes: dict[str, ClassDefinition] = field(default_factory=dict)
    teams: dict[str, TeamQuota] = field(default_factory=dict)
