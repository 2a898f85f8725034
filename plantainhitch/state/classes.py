"""Class definitions and team quotas: the operators' versioned configuration.

Operators set targets only: the document has no weights, endpoint lists or addresses.
"""

from dataclasses import asdict, dataclass, field

import msgspec

from ..json_input import decode_json

NO_VERSION = 0


@dataclass(frozen=True, slots=True)
class ClassDefinition:
    """A class of work and its target.

    A share ``quantile`` of its tasks is to be answered within ``answers_within_ms``.
    ``claims_at_least`` is the class's minimum share of all slots (0..1) under
    contention. ``repeatable`` is the default for its requests.
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
    """A team's quota: the largest share of the fleet (0..1) that it may hold."""

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

    @classmethod
    def from_json(cls, data):
        """Return the document in ``data``; raise ValueError if it is malformed."""
        model = decode_json(data, DocumentModel)
        classes = [ClassDefinition(**_fields(item)) for item in model.classes]
        teams = [TeamQuota(**_fields(item)) for item in model.teams]
        return cls(
            version=model.version,
            change_id=model.change_id,
            author=model.author,
            classes={item.name: item for item in classes},
            teams={item.name: item for item in teams},
        )

    def to_json(self):
        """Return the document as JSON; equal documents give equal bytes."""
        classes = sorted(self.classes.values(), key=lambda item: item.name)
        teams = sorted(self.teams.values(), key=lambda item: item.name)
        model = DocumentModel(
            version=self.version,
            change_id=self.change_id,
            author=self.author,
            classes=[ClassModel(**asdict(item)) for item in classes],
            teams=[TeamModel(**asdict(item)) for item in teams],
        )
        return msgspec.json.encode(model)


class ClassModel(msgspec.Struct):
    """The JSON form of a ``ClassDefinition``."""

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


class TeamModel(msgspec.Struct):
    """The JSON form of a ``TeamQuota``."""

    name: str
    holds_at_most: float = 1.0


class DocumentModel(msgspec.Struct):
    """The JSON form of a ``ClassDocument``."""

    version: int
    change_id: str
    author: str
    classes: list[ClassModel] = []
    teams: list[TeamModel] = []


def _fields(model):
    return msgspec.structs.asdict(model)
