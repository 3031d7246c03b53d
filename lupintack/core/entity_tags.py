"""Entity tags of copies, and conditions on them (If-None-Match, RFC 9110, section 13.1.2). Pure."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_TAGS = 32  # of one condition: a client that names more gets content in place of 304
TAG = re.compile(r"[0-9A-Za-z_.-]{1,64}")  # of a copy, without quotes
ANY = "*"
_LISTED_TAG = re.compile(r'(?:W/)?"([!#-~\x80-\xff]*)"')
_SEPARATORS = re.compile(r"[ \t,]*")


class CachedTags(NamedTuple):
    """The copies that a client has, by an If-None-Match field."""

    tags: tuple[str, ...] = ()
    is_any: bool = False  # the client has some copy, and names none

    @property
    def first(self) -> str:
        """The first tag, empty without one."""
        return self.tags[0] if self.tags else ""

    def match(self, tag: str) -> bool:
        """Return whether the copy with this tag is one of the client's.

        Comparison is weak, as the field has it: W/ was dropped when the tags were read.
        """
        return bool(tag) and (self.is_any or tag in self.tags)


NO_TAGS = CachedTags()


def parse_if_none_match(text: str) -> CachedTags:
    """Return the copies that a field names; none if it is malformed, as the condition may be ignored.

    Tags that no copy can have are passed over.
    """
    if text.strip(" \t") == ANY:
        return CachedTags(is_any=True)
    listed = _split_list(text)
    return CachedTags(tuple(tag for tag in listed if TAG.fullmatch(tag))[:MAX_TAGS])


def _split_list(text: str) -> list[str]:
    """Return the tags of a list, without quotes and W/; none if it is malformed."""
    separators = _SEPARATORS.match(text)
    position = separators.end() if separators else 0
    tags: list[str] = []
    while position < len(text):
        listed = _LISTED_TAG.match(text, position)
        if listed is None:
            return []
        tags.append(listed[1])
        separators = _SEPARATORS.match(text, listed.end())
        position = separators.end() if separators else len(text)
        if position < len(text) and "," not in text[listed.end() : position]:
            return []
    return tags
