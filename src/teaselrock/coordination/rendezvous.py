"""Rendezvous hashing: choose members for a key without coordination.

Instances with the same members make the same choice. If a member joins or
leaves, only keys that it owns get another owner.
"""

from collections.abc import Iterable
import hashlib


def _score(member: str, key: str) -> bytes:
    text = f'{member}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def ranked(*, key: str, members: Iterable[str]) -> list[str]:
    """Return the members by rank for `key`, the highest first."""
    return sorted(
        members, key=lambda member: (_score(member, key), member), reverse=True
    )


def owner(*, key: str, members: Iterable[str]) -> str | None:
    """Return the highest ranked member for `key`, None without members."""
    return max(
        members,
        key=lambda member: (_score(member, key), member),
        default=None,
    )
