"""The state machine of one HTTP/2 connection: the library `h2`, changed where it ends more than it must.

Four places of its inside are overridden, all of them named here; tests/test_http2_wire.py fails if a release
of the library no longer has them (requirements.txt pins it).

- GOAWAY: h2 takes one for the end of everything, in both directions. RFC 9113, section 6.8, wants streams
  below its last id to go on, and a server to send two.
- content-length: h2 ends the connection where a body doesn't fit; section 8.1.1 makes it the stream's error.
- more streams than were offered: h2 ends the connection; section 5.1.2 allows REFUSED_STREAM for each.
- how many ended streams are remembered: 65,536 are some megabytes a connection.
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
STREAMS_PER_CLEANUP = 64  # new streams between two looks for those that are over


class SilentLogger(DummyLogger):
    """h2 and hpack format log lines for each frame, even when nobody reads them."""

    def __init__(self) -> None:
        """Log nowhere."""

    def debug(self, *args: object, **kwargs: object) -> None:
        """Drop a line."""

    def trace(self, *args: object, **kwargs: object) -> None:
        """Drop a line."""


class UncompressedEncoder(Encoder):
    """Encodes without Huffman's code, which costs more than it saves on short values that differ."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        """Encode fields without Huffman's code."""
        return super().encode(headers, huffman=False)


SILENT_LOGGER = SilentLogger()
# hpack words 26 lines a request for its own log; with nobody to read them, a twentieth of the front's time.
hpack.hpack.log = hpack.table.log = SILENT_LOGGER  # type: ignore[assignment]


def _skip_length_check(headers: object) -> None:
    """The fronts compare lengths themselves."""


class Session(H2Connection):
    """One connection's state; bytes in, events out, nothing of sockets."""

    MAX_CLOSED_STREAMS = 1024

    def __init__(self, client: bool, streams: int, header_list: int, stream_window: int) -> None:
        """`streams` and `header_list` bound what the peer may open and send; windows are in bytes."""
        # The fronts check fields more strictly, and answer for a stream where h2 would end the connection.
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
        """Return 0, so that h2 never ends the connection: the front counts streams, and refuses one by one.

        Guards a client that opens more before it has read this side's SETTINGS. h2 goes through all open
        streams for each new one, and forgets those that are over; once in STREAMS_PER_CLEANUP is enough for
        that.
        """
        self.streams_since_cleanup += 1
        if self.streams_since_cleanup >= STREAMS_PER_CLEANUP:
            self.streams_since_cleanup = 0
            self._open_streams(0 if self.config.client_side else 1)
        return 0

    def goaway(self, last: int, code: ErrorCodes, text: bytes = b"") -> None:
        """Send a GOAWAY after which streams up to `last` go on."""
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
