"""The exception hierarchy.

Every failure that the product reports has a type here. A type that can be returned
to a caller defines its HTTP status, its type name on the wire and whether the
request has run.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from guavajunction.configuration import Fault

NotRun = Literal["true", "false", "unknown"]


class GuavaError(Exception):
    """Base class of all exceptions that guavajunction raises."""

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
        """What happened, in one sentence without keys or prompts."""


class RequestError(GuavaError):
    """Base class of the failures that are returned to a caller; not returned itself."""

    STATUS = 500
    """HTTP status of the response."""

    TYPE = "internal_error"
    """Type name of the failure in the body of the response."""

    NOT_RUN: NotRun = "true"
    """Default of `not_run`: whether the request is known not to have run on a backend
    server."""

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        not_run: NotRun | None = None,
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after
        """Seconds after which to retry, or None if a retry is useless."""
        self.not_run: NotRun = self.NOT_RUN if not_run is None else not_run
        """Whether this request is known not to have run on a backend server."""


class BadRequest(RequestError):
    """The request's body, content type or a parameter is malformed."""

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
    """The route does not accept the content type of the body."""

    STATUS = 415
    TYPE = "unsupported_media_type"


class KeyMissing(RequestError):
    """The route requires a key and the request carries none."""

    STATUS = 401
    TYPE = "key_missing"


class KeyRefused(RequestError):
    """The key is unknown or has been revoked."""

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
    """The route does not accept the request's method."""

    STATUS = 405
    TYPE = "method_not_allowed"


class RateLimited(RequestError):
    """The customer has exceeded its rate limit, including the burst."""

    STATUS = 429
    TYPE = "rate_limited"


class ExceedsBurst(RequestError):
    """The request costs more than the customer's whole burst."""

    STATUS = 422
    TYPE = "exceeds_burst"


class Overloaded(RequestError):
    """The queue is full, the wait in it is too long, or the service is unreachable."""

    STATUS = 503
    TYPE = "overloaded"


class MemoryShort(RequestError):
    """This instance holds too much for other requests, and did not run this one."""

    STATUS = 503
    TYPE = "memory_short"


class NoReplica(RequestError):
    """No backend server that accepts new requests has the model or runs the service."""

    STATUS = 503
    TYPE = "no_replica"


class StreamNotResumable(RequestError):
    """No backend server may continue the stream without a break in its content."""

    STATUS = 503
    TYPE = "stream_not_resumable"


class RequestQuarantined(RequestError):
    """Backend servers crash on the request, whichever attempt of it they run."""

    STATUS = 503
    TYPE = "request_quarantined"


class PromptQuarantined(RequestQuarantined):
    """Backend servers crash on a part of the request's prompt."""

    TYPE = "prompt_quarantined"


class InstanceNotReady(RequestError):
    """The instance may not serve now: it is starting, stopping or without standing."""

    STATUS = 503
    TYPE = "instance_not_ready"


class StoreUnavailableForRequest(RequestError):
    """The request needs the platform's store, which is unavailable."""

    STATUS = 503
    TYPE = "store_unavailable"


class BackendFailed(RequestError):
    """A backend server rejected or failed the request, or closed the connection."""

    STATUS = 502
    TYPE = "backend_failed"
    NOT_RUN: NotRun = "unknown"


class BackendRefused(RequestError):
    """A backend server rejected the request without running it."""

    STATUS = 503
    TYPE = "backend_refused"


class ArtifactMissing(BackendRefused):
    """A backend server rejected the request for lack of its model or adapter."""


class BackendReplaced(BackendRefused):
    """Another backend server answered at the address; none has run the request."""


class _BackendFailure(RequestError):
    """Base class of the failures in which a backend server gave no complete answer."""

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        not_run: NotRun | None = None,
        connection_lost: bool = False,
    ) -> None:
        super().__init__(message, retry_after=retry_after, not_run=not_run)
        self.connection_lost = connection_lost
        """Whether the connection ended, rather than the time for the answer."""


class AnswerCut(_BackendFailure):
    """The response ended before its end marker and could not be resumed."""

    STATUS = 502
    TYPE = "answer_cut"
    NOT_RUN: NotRun = "false"


class OutcomeUnknown(_BackendFailure):
    """A non-idempotent request was sent and its outcome is unknown."""

    STATUS = 504
    TYPE = "outcome_unknown"
    NOT_RUN: NotRun = "unknown"


class InProgress(RequestError):
    """Another request with the same idempotency key is still in progress."""

    STATUS = 409
    TYPE = "in_progress"
    NOT_RUN: NotRun = "unknown"


class KeyReused(RequestError):
    """The idempotency key was used before with a different request."""

    STATUS = 422
    TYPE = "idempotency_key_reused"


class InternalFault(RequestError):
    """An internal error of the instance."""

    STATUS = 500
    TYPE = "internal_fault"
    NOT_RUN: NotRun = "unknown"


class NotSent(GuavaError):
    """No byte of the request was sent to a backend server."""


class NoPathToServer(NotSent):
    """This instance is cut, and no other one gave it a path to the backend server.

    That says nothing about the backend server.
    """


class PlatformError(GuavaError):
    """Base class of the failures of the platform's services."""


class StoreUnavailable(PlatformError):
    """The service is unreachable, and the call has certainly had no effect."""


class StoreAnswerLost(PlatformError):
    """The call was sent but not answered, and may have taken effect."""


class ConditionFailed(PlatformError):
    """A conditional write failed because the row has another version."""


class HistoryGone(PlatformError):
    """Changes after a version are no longer available; all rows must be re-read."""


class ObjectNotFound(PlatformError):
    """The object store has no object with the requested name."""


class ObjectCorrupt(PlatformError):
    """An object's content does not match the hash in its name."""


class PeerError(GuavaError):
    """Base class of the failures of the links between instances."""


class PeerTimeout(PeerError):
    """A peer did not reply in time."""


class PeerUnknown(PeerError):
    """No link to the peer exists."""


class NoMajority(PeerError):
    """No majority of the members acknowledged a change, so it was not attempted."""


class PendingExpired(PeerError):
    """The members' acknowledgements of a pending change have expired."""


class FleetKeysReplaced(GuavaError):
    """The store has other keys of the fleet than those that are in use."""


class LeaseLost(GuavaError):
    """The holder of a lease can no longer prove that it holds it."""


class StaleFence(GuavaError):
    """A fencing number is lower than one received earlier."""


class SettingsInvalid(GuavaError):
    """One or more settings are invalid; the message has one line for each."""


class DocumentInvalid(GuavaError):
    """The configuration document violates one or more rules."""

    def __init__(self, message: str, faults: Sequence[Fault] = ()) -> None:
        super().__init__(message)
        self.faults = list(faults)
        """All faults found in the document."""


class SectionConflict(GuavaError):
    """Another author changed the section after it was read."""


class AcceptanceUnknown(GuavaError):
    """A configuration change was sent, and its acceptance is unknown."""


class OperatorError(GuavaError):
    """Base class of the failures that only operators' requests can have."""

    STATUS = 400
    """HTTP status of the response."""

    TYPE = "bad_request"
    """Type name of the failure in the body of the response."""


class OperatorRequestInvalid(OperatorError):
    """The operator's request is malformed."""


class OperatorRefused(OperatorError):
    """The operator's request has no token or a wrong one."""

    STATUS = 401
    TYPE = "token_refused"


class EntryUnknown(OperatorError):
    """The request names a key, backend server or version that does not exist."""

    STATUS = 404
    TYPE = "entry_unknown"


class KeyAlreadyIssued(OperatorError):
    """The attempt has already issued a key, which cannot be shown again."""

    STATUS = 409
    TYPE = "key_already_issued"


class OrderRefused(GuavaError):
    """An order to a backend server was refused, not sent or not answered."""
