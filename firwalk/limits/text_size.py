"""Limits on the size of texts that are sent in UTF-8, where a character takes up to four bytes."""

from __future__ import annotations


def truncate(text: str, max_bytes: int) -> str:
    """Return as many whole characters of a text as fit into a number of bytes."""
    return text.encode(errors="replace")[:max_bytes].decode(errors="ignore")


def decode_text(data: bytes) -> str:
    """Decode a text of a peer: UTF-8, the encoding of our own files, or Latin-1 where it is not UTF-8."""
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data.decode("latin-1")
