"""Converts load reports to states, and states to digests for the peers."""

from __future__ import annotations

import msgspec
import xxhash

from ._messages import LoadDigest, StateDigest
from ._model import BackendState, LoadReport


def state_of(name: str, report: LoadReport, sent_at: float) -> BackendState:
    """Return the state that a load report describes.

    Args:
        name: The backend server.
        report: Its load report.
        sent_at: Local monotonic time, in seconds, at which the query was sent.
    """
    return BackendState(
        name=name,
        as_of=sent_at - report.age_seconds,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        resident=report.resident,
        used_mib=report.used_mib,
        leaving=report.leaving,
        healthy=True,
        seq=report.seq,
    )


def digest_of(state: BackendState, now: float) -> StateDigest:
    """Return the digest of a whole state, for the peers."""
    return StateDigest(state.name, now - state.as_of, *state[2:])


def load_digest_of(state: BackendState, now: float, fingerprint: int) -> LoadDigest:
    """Return the digest of only the load, for the peers.

    Args:
        state: State of the backend server.
        now: Local monotonic time in seconds.
        fingerprint: Result of `fingerprint_of` for the state.
    """
    age = now - state.as_of
    return LoadDigest(
        state.name, age, state.running, state.waiting, state.seq, fingerprint
    )


def fingerprint_of(state: BackendState) -> int:
    """Return a hash of the fields that a load digest leaves out, except `used_mib`."""
    other_fields = (state.slots, state.resident, state.leaving, state.healthy)
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(other_fields))
