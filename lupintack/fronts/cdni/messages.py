"""Messages of other CDNs: media types, and validated JSON of bounded size."""

from __future__ import annotations

import json
import re
from typing import Any

from lupintack.fronts.exchange import Exchange, HttpError

COMMAND, STATUS, COLLECTION = "ci-trigger-command", "ci-trigger-status", "ci-trigger-collection"
RI_REQUEST, RI_RESPONSE = "redirection-request", "redirection-response"
HOST_INDEX, HOST_METADATA = "MI.HostIndex", "MI.HostMetadata"
MAX_LIST_ITEMS = 256
MAX_TEXT_CHARACTERS = 2048
MAX_PATH_ITEMS = 32
_URL = re.compile(r"https?://[!-~]+", re.IGNORECASE)
_VISIBLE = re.compile(r"[!-~]*")


def is_http_url(value: object) -> bool:
    """Return whether a value of another party may be sent on as an absolute URL."""
    is_text = isinstance(value, str) and len(value) <= MAX_TEXT_CHARACTERS
    return is_text and _URL.fullmatch(str(value)) is not None


def is_visible(text: str) -> bool:
    """Return whether a text is visible ASCII without white space, so that it may be a part of a URL."""
    return _VISIBLE.fullmatch(text) is not None


def media_type(ptype: str) -> str:
    """Return the media type of a payload type."""
    return f"application/cdni; ptype={ptype}"


def payload_type(header: str) -> str | None:
    """Return the payload type in a Content-Type field, empty if it has none; None for other media types."""
    parts = [part.strip() for part in header.split(";")]
    if parts[0].lower() != "application/cdni":
        return None
    for part in parts[1:]:
        name, _, value = part.partition("=")
        if name.strip().lower() == "ptype":
            return value.strip().strip('"')
    return ""


def accepts(header: str, ptype: str) -> bool:
    """Return whether an Accept field includes a payload type; an empty field includes every type."""
    if not header.strip():
        return True
    for media_range in header.split(","):
        kind = media_range.split(";")[0].strip().lower()
        if kind in ("*/*", "application/*"):
            return True
        if kind == "application/cdni" and payload_type(media_range) in ("", ptype):
            return True
    return False


def read_message(exchange: Exchange, ptype: str, answer_ptype: str) -> dict[str, Any]:
    """Return the JSON object in a request; raise HttpError for a wrong type or an invalid body.

    `answer_ptype`: the payload type of the answer, which the client must accept.
    """
    headers = exchange.request.headers
    if payload_type(headers.get("content-type", "")) != ptype:
        raise HttpError(415, f"{media_type(ptype)} is wanted")
    if not accepts(headers.get("accept", ""), answer_ptype):
        raise HttpError(406, f"the answer is {media_type(answer_ptype)}")
    return parse_object(exchange.request.body)


def parse_object(raw: bytes) -> dict[str, Any]:
    """Return a JSON object; raise HttpError for anything else."""
    try:
        data = json.loads(raw)
        json.dumps(data, ensure_ascii=False).encode()  # fails for half of a surrogate pair, which is no text
    except (ValueError, RecursionError) as error:
        raise HttpError(400, f"not JSON: {error}") from None
    if not isinstance(data, dict):
        raise HttpError(400, "a JSON object is wanted")
    return data


def read_text(data: dict[str, Any], key: str, default: str | None = None) -> str:
    """Return a string of bounded length; raise HttpError for anything else."""
    value = data.get(key, default)
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise HttpError(400, f"{key}: a string of {MAX_TEXT_CHARACTERS} characters at most is wanted")
    return value


def read_texts(data: dict[str, Any], key: str, maximum: int = MAX_LIST_ITEMS) -> list[str]:
    """Return a list of strings, empty if the key is absent; raise HttpError for anything else."""
    value = data.get(key, [])
    if not isinstance(value, list) or len(value) > maximum:
        raise HttpError(400, f"{key}: a list of {maximum} strings at most is wanted")
    for item in value:
        if not isinstance(item, str) or len(item) > MAX_TEXT_CHARACTERS:
            raise HttpError(400, f"{key}: a string of {MAX_TEXT_CHARACTERS} characters at most is wanted")
    return value


def send_object(
    exchange: Exchange, status: int, ptype: str, data: dict[str, Any], *extra: tuple[str, str]
) -> None:
    """Answer with a JSON object."""
    headers = [("Content-Type", media_type(ptype)), *extra]
    exchange.answer(status, headers, json.dumps(data).encode())


def error_description(code: str, text: str, key: str = "", values: list[Any] | None = None) -> dict[str, Any]:
    """Return an Error Description object of RFC 8007."""
    return {"error": code, "description": text[:200]} | ({key: values} if key and values else {})
