"""State machine of one HTTP/2 connection: the library `h2`, changed where it ends connections needlessly.

Four internals of the library are overridden, all listed here; tests/test_http2_limits.py fails if a release
of the library no longer has them (requirements.txt pins the version).

- GOAWAY: h2 treats it as the end of the connection in both directions. RFC 9113, section 6.8, requires that
  streams up to its last id continue, and lets a server send two.
- content-length: h2 ends the connection if a body does not match it; by section 8.1.1 it is a stream error.
- too many concurrent streams: h2 ends the connection; section 5.1.2 allows REFUSED_STREAM for each.
- number of closed streams that are remembered: the default of 65,536 takes some megabytes per connection.
"""

from __future__ import annotations

from typing import Any

import hpack.hpack
import hpack.table
from h2.config import DummyLogger, H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, Event
from h2.settings import SettingCodes, Settings
from hpack import Encoder
from hyperframe.frame import Frame, GoAwayFrame

HIGHEST_STREAM_ID = 2**31 - 1
STREAMS_PER_CLEANUP = 64  # new streams between two removals of closed ones


class SilentLogger(DummyLogger):
    """Drops log lines: h2 and hpack format them for each frame, even if logging is off."""

    def __init__(self) -> None:
        """Create a logger without output."""

    def debug(self, *args: object, **kwargs: object) -> None:
        """Drop a line."""

    def trace(self, *args: object, **kwargs: object) -> None:
        """Drop a line."""


class UncompressedEncoder(Encoder):
    """Encodes without Huffman coding, which costs more than it saves on short values that differ."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        """Encode fields without Huffman coding."""
        return super().encode(headers, huffman=False)


SILENT_LOGGER = SilentLogger()
# hpack formats 26 log lines per request; unread, they took a twentieth of the front's time.
hpack.hpack.log = hpack.table.log = SILENT_LOGGER  # type: ignore[assignment]


def _skip_length_check(headers: object) -> None:
    """Do nothing: the fronts compare lengths themselves."""


class Session(H2Connection):
    """State of one connection: converts bytes to events, without sockets."""

    MAX_CLOSED_STREAMS = 1024

    def __init__(self, client: bool, streams: int, header_list: int, stream_window: int) -> None:
        """`streams`, `header_list`: bounds on the peer's streams and on its fields; sizes are in bytes."""
        # The fronts check fields more strictly, and end only the stream where h2 would end the connection.
        config = H2Configuration(
            client_side=client,
            header_encoding=None,
            validate_inbound_headers=False,
            normalize_inbound_headers=False,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
            logger=SILENT_LOGGER,
        )
        self.streams_since_cleanup = 0
        super().__init__(config)
        values = {
            SettingCodes.MAX_CONCURRENT_STREAMS: streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: header_list,
            SettingCodes.INITIAL_WINDOW_SIZE: stream_window,
        }
        if client:
            values[SettingCodes.ENABLE_PUSH] = 0
        self.local_settings = Settings(client=client, initial_values=values)
        self.decoder.max_header_list_size = header_list
        if not client:
            self.encoder = UncompressedEncoder()

    @property
    def open_inbound_streams(self) -> int:
        """Return 0, so that h2 never ends the connection: the front counts streams and refuses single ones.

        A client may open more streams than allowed before it has read this side's SETTINGS. h2 iterates over
        all streams for each new one and removes closed ones; doing so once in STREAMS_PER_CLEANUP is enough.
        """
        self.streams_since_cleanup += 1
        if self.streams_since_cleanup >= STREAMS_PER_CLEANUP:
            self.streams_since_cleanup = 0
            self._open_streams(0 if self.config.client_side else 1)
        return 0

    def goaway(self, last: int, code: ErrorCodes, text: bytes = b"") -> None:
        """Send a GOAWAY after which streams up to `last` continue."""
        self._prepare_for_sending([GoAwayFrame(0, last, int(code), text)])

    def _begin_new_stream(self, stream_id: int, allowed_ids: Any) -> Any:
        stream = super()._begin_new_stream(stream_id, allowed_ids)
        stream._initialize_content_length = _skip_length_check  # type: ignore[method-assign]
        return stream

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]
