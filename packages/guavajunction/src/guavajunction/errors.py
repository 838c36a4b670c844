"""The exception tree.

Every failure that the product reports has a type here. A type that can reach a
caller fixes its HTTP status, its type name on the wire and whether the request
has run.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from guavajunction.configuration import Fault

NotRun = Literal["true", "false", "unknown"]


class GuavaError(Exception):
    """Base of every failure that guavajunction raises on purpose."""

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
        """What happened, in one sentence, free of keys and prompts."""


class RequestError(GuavaError):
    """Base of every failure that is answered to a caller."""

    STATUS = 500
    """HTTP status of the answer."""

    TYPE = "internal_error"
    """Name of the failure in the answer's body."""

    NOT_RUN: NotRun = "true"
    """Whether the request is known not to have run on a backend server."""

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        not_run: NotRun | None = None,
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after
        """Seconds after which a repeat is worthwhile, or None if it never is."""
        self.not_run: NotRun = self.NOT_RUN if not_run is None else not_run
        """Whether this request is known not to have run."""


class BadRequest(RequestError):
    """The request is malformed: body, content type, parameter."""

    STATUS = 400
    TYPE = "bad_request"


class RequestTooLarge(RequestError):
    """The body is larger than the instance accepts."""

    STATUS = 413
    TYPE = "request_too_large"


class RequestTimeout(RequestError):
    """The caller sent its request too slowly."""

    STATUS = 408
    TYPE = "request_timeout"


class WrongContentType(RequestError):
    """The body is of a type that the route does not take."""

    STATUS = 415
    TYPE = "unsupported_media_type"


class KeyMissing(RequestError):
    """The route requires a key and the request carries none."""

    STATUS = 401
    TYPE = "key_missing"


class KeyRefused(RequestError):
    """The key is unknown or has been withdrawn."""

    STATUS = 401
    TYPE = "key_refused"


class NotPermitted(RequestError):
    """The key is valid but its customer may not use the route or model."""

    STATUS = 403
    TYPE = "not_permitted"


class UnknownRoute(RequestError):
    """No route of the configuration matches the path."""

    STATUS = 404
    TYPE = "unknown_route"


class UnknownModel(RequestError):
    """No deployed model or adapter has the requested name."""

    STATUS = 404
    TYPE = "unknown_model"


class MethodNotAllowed(RequestError):
    """The path is known but not with this method."""

    STATUS = 405
    TYPE = "method_not_allowed"


class RateLimited(RequestError):
    """The customer is over its rate and burst."""

    STATUS = 429
    TYPE = "rate_limited"


class ExceedsBurst(RequestError):
    """The request alone costs more than the customer's burst."""

    STATUS = 422
    TYPE = "exceeds_burst"


class Overloaded(RequestError):
    """The request cannot meet its objective now."""

    STATUS = 503
    TYPE = "overloaded"


class NoReplica(RequestError):
    """No backend server that may take new work has the model ready."""

    STATUS = 503
    TYPE = "no_replica"


class InstanceNotReady(RequestError):
    """The instance may not serve: starting, cut off or out of its lease."""

    STATUS = 503
    TYPE = "instance_not_ready"


class StoreUnavailableForRequest(RequestError):
    """The platform's table service is needed for the request and is down."""

    STATUS = 503
    TYPE = "store_unavailable"


class BackendFailed(RequestError):
    """A backend server refused or dropped the request."""

    STATUS = 502
    TYPE = "backend_failed"
    NOT_RUN: NotRun = "unknown"


class BackendRefused(RequestError):
    """A backend server turned a request away without running it."""

    STATUS = 503
    TYPE = "backend_refused"


class AnswerCut(RequestError):
    """The answer ended before its end mark and could not be resumed."""

    STATUS = 502
    TYPE = "answer_cut"
    NOT_RUN: NotRun = "false"


class OutcomeUnknown(RequestError):
    """A non-idempotent request was sent and its outcome is not known."""

    STATUS = 504
    TYPE = "outcome_unknown"
    NOT_RUN: NotRun = "unknown"


class InProgress(RequestError):
    """Another send of the same idempotency key has not ended yet."""

    STATUS = 409
    TYPE = "in_progress"
    NOT_RUN: NotRun = "unknown"


class KeyReused(RequestError):
    """The idempotency key was used before with a different request."""

    STATUS = 422
    TYPE = "idempotency_key_reused"


class InternalFault(RequestError):
    """A defect of the instance itself."""

    STATUS = 500
    TYPE = "internal_fault"
    NOT_RUN: NotRun = "unknown"


class NotSent(GuavaError):
    """A request could not be handed to a backend server: no byte went out."""


class PlatformError(GuavaError):
    """Base of the failures of the platform's services."""


class StoreUnavailable(PlatformError):
    """The service was not reached: the call has certainly not taken effect."""


class StoreAnswerLost(PlatformError):
    """The call was sent and not answered: it may have taken effect."""


class ConditionFailed(PlatformError):
    """A conditional write found another version of the row."""


class HistoryGone(PlatformError):
    """Changes after a version are not kept any more: all has to be read again."""


class ObjectNotFound(PlatformError):
    """The object store has no object of that name."""


class ObjectCorrupt(PlatformError):
    """An object's content does not have the hash that names it."""


class PeerError(GuavaError):
    """Base of the failures between instances."""


class PeerTimeout(PeerError):
    """A peer did not answer in time."""


class PeerUnknown(PeerError):
    """No link to the peer exists."""


class NoMajority(PeerError):
    """Too few members acknowledged a pending change; it was not attempted."""


class PendingExpired(PeerError):
    """The members' acknowledgement of a pending change is too old to act on."""


class LeaseLost(GuavaError):
    """The holder of a lease can no longer prove that it holds it."""


class StaleFence(GuavaError):
    """A fencing number is lower than one that was seen before."""


class SettingsInvalid(GuavaError):
    """One or more settings are wrong; the message has a line for each."""


class DocumentInvalid(GuavaError):
    """The configuration document breaks one or more rules."""

    def __init__(self, message: str, faults: Sequence[Fault] = ()) -> None:
        super().__init__(message)
        self.faults = list(faults)
        """Every fault that was found."""


class SectionConflict(GuavaError):
    """A section was changed by somebody else since it was read."""


class AcceptanceUnknown(GuavaError):
    """A configuration change was sent and may or may not have been accepted."""


class OperatorError(GuavaError):
    """Base of the failures that only an operator's request can have."""

    STATUS = 400
    """HTTP status of the answer."""

    TYPE = "bad_request"
    """Name of the failure in the answer's body."""


class OperatorRequestInvalid(OperatorError):
    """The operator's request is malformed."""


class OperatorRefused(OperatorError):
    """The operator's request carries no token or a wrong one."""

    STATUS = 401
    TYPE = "token_refused"


class EntryUnknown(OperatorError):
    """The request names a key, backend server or version that does not exist."""

    STATUS = 404
    TYPE = "entry_unknown"


class KeyAlreadyIssued(OperatorError):
    """The attempt has issued a key before, which cannot be shown again."""

    STATUS = 409
    TYPE = "key_already_issued"


class OrderRefused(GuavaError):
    """A backend server refused an order."""
