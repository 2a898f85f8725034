"""Error codes of the HTTP APIs for callers and operators.

The codes are stable. Each has one HTTP status; ``docs/errors.md`` describes them.
"""

import enum
from dataclasses import dataclass


class ErrorCode(enum.StrEnum):
    """The ``code`` in the body of an error reply."""

    BAD_JSON = "bad_json"
    BAD_FIELD = "bad_field"
    BAD_CONTENT_TYPE = "bad_content_type"
    BAD_METHOD = "bad_method"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_TASKS = "too_many_tasks"
    DUPLICATE_INDEX = "duplicate_index"
    CLASS_UNKNOWN = "class_unknown"
    ID_MALFORMED = "id_malformed"
    ID_UNKNOWN = "id_unknown"
    ID_CONFLICT = "id_conflict"
    ID_REFUSED = "id_refused"
    KEY_CONFLICT = "key_conflict"
    NOT_FOUND = "not_found"
    ANSWER_EXPIRED = "answer_expired"
    OWNER_LOST = "owner_lost"
    OWNER_UNREACHABLE = "owner_unreachable"
    NO_CONFIGURATION = "no_configuration"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    STORE_DOWN = "store_down"
    VERSION_CONFLICT = "version_conflict"
    BAD_CONFIGURATION = "bad_configuration"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorCode.BAD_JSON: 400,
    ErrorCode.BAD_FIELD: 400,
    ErrorCode.BAD_CONTENT_TYPE: 415,
    ErrorCode.BAD_METHOD: 405,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.TOO_MANY_TASKS: 400,
    ErrorCode.DUPLICATE_INDEX: 400,
    ErrorCode.CLASS_UNKNOWN: 404,
    ErrorCode.ID_MALFORMED: 400,
    ErrorCode.ID_UNKNOWN: 404,
    ErrorCode.ID_CONFLICT: 409,
    ErrorCode.ID_REFUSED: 409,
    ErrorCode.KEY_CONFLICT: 409,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.ANSWER_EXPIRED: 410,
    ErrorCode.OWNER_LOST: 410,
    ErrorCode.OWNER_UNREACHABLE: 503,
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.STORE_DOWN: 503,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.BAD_CONFIGURATION: 422,
    ErrorCode.INTERNAL: 500,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call: an error takes the place of its answer.

    ``not_run`` True guarantees that nothing of the call has run or will run; False
    leaves that open. ``retry_after_ms`` is the advised time until a retry, 0 for none.
    ``details`` are further lines of text, such as all errors found in a file.
    """

    code: ErrorCode
    message: str
    not_run: bool = False
    retry_after_ms: int = 0
    details: tuple[str, ...] = ()

    @property
    def http_status(self):
        """The HTTP status of the error's ``code``."""
        return HTTP_STATUS[self.code]
