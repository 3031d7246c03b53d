"""One HTTP/2 connection on a blocking socket, of a client or a server; independent of what requests mean.

One thread reads. Any thread writes under the connection's lock, as much as the kernel accepts without
waiting. A separate thread writes the rest, so that no caller waits for a slow peer. Bodies wait in the
schedule, not in frames: only about FRAMED_BYTES of frames wait for the kernel, so an urgent stream overtakes
at the next frame.

A `Role` handles the peer's events on the reader's thread, without the lock; its methods for bytes and windows
are called under the lock, and must neither block nor call the connection.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Sequence

from h2 import events as e
from h2.errors import ErrorCodes
from h2.exceptions import H2Error, ProtocolError, StreamClosedError
from h2.settings import SettingCodes

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.dated_reads import DatedReads
from lupintack.http2.config import WireConfig
from lupintack.http2.frame_writer import FrameWriter
from lupintack.http2.role import Header, Role, role_call
from lupintack.http2.schedule import Fifo, Priority, Schedule
from lupintack.http2.session import HIGHEST_STREAM_ID, Session

LOG = logging.getLogger("http2")
READ_BYTES = 16384
FRAMED_BYTES = 32768  # bytes of frames that may wait for the kernel before a flush
MAX_FRAMED_BYTES = 262_144  # bound for answers to control frames that a peer does not read
MAX_FRAME_BYTES = 16384  # of a body, at most
MAX_UNSENT_BYTES = 32768  # unsent bytes in the kernel, which an urgent stream can't overtake
LINGER_TIMEOUT_S = 1.5  # time to read on after shutting down: a reset could lose the last frames
PING_DATA = b"lupintck"


class Wire:
    """One HTTP/2 connection."""

    def __init__(
        self,
        sock: socket.socket,
        config: WireConfig,
        role: Role,
        spawn: Callable[[Callable[[], None], str], None],
    ) -> None:
        """Use a connected socket; `run` serves it. `spawn`: runs a call on a thread of that name."""
        self.sock = sock
        self.config = config
        self.role = role
        self.lock = threading.RLock()
        self.session = Session(
            config.is_client, config.max_streams, config.max_header_list_bytes, config.stream_window
        )
        self.schedule: Schedule = Fifo() if config.fifo else Schedule()
        self.bodies: dict[int, memoryview] = {}
        self.writer = FrameWriter(sock, self, spawn)
        self.window_closed = False  # the connection has no window
        self.ended = False  # nothing more is written
        self.bytes_since_event = 0  # bounds an endless frame or header block
        self.is_calling = False  # methods of the role are being called for received events
        self.end_reason = ""
        self.ended_us = 0
        self.reads = DatedReads(sock)
        self.received_us = now_us()  # earliest time at which the bytes being handled arrived
        sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)

    # Reading

    def run(self) -> None:
        """Serve the connection until it ends; the main function of its thread."""
        try:
            with self.lock:
                self.session.initiate_connection()
                window_increment = self.config.connection_window - 65_535
                if window_increment > 0:
                    self.session.increment_flow_control_window(window_increment)
                self.pump()
            while not self.ended:
                self.reads.before_read()
                try:
                    data = sockets.read(self.sock, READ_BYTES)
                except BlockingIOError:
                    continue  # a timeout inherited from the listener that could not be removed
                if not data:
                    self.end_reason = self.end_reason or "closed"
                    break
                self.received_us = self.reads.consume_read(len(data))
                self.receive(data)
            if self.ended and not self.writer.is_closed:
                self._linger()
        except OSError as error:
            self.end_reason = self.end_reason or f"broken: {error.strerror or error}"
        except Exception:  # an internal error is logged, and ends the connection
            LOG.exception("connection failed")
            self.end_reason = "fault"
        finally:
            with self.lock:
                self.ended = self.writer.is_closed = True
                self.bodies.clear()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock.close()
            self.role.on_closed(self.end_reason)

    def receive(self, data: bytes) -> None:
        """Handle received bytes: update the state under the lock, then call the role without it."""
        calls: list[Callable[[], None]] = []
        with self.lock:
            if self.ended:
                return
            try:
                events = self.session.receive_data(data)
            except ProtocolError as error:
                # h2 has queued a GOAWAY; events of earlier frames in these bytes are lost.
                self._finish(f"protocol: {type(error).__name__}: {error}")
                return
            except (H2Error, ValueError, KeyError, IndexError) as error:
                self.session.goaway(0, ErrorCodes.PROTOCOL_ERROR)
                self._finish(f"protocol: {type(error).__name__}: {error}")
                return
            self.bytes_since_event = 0 if events else self.bytes_since_event + len(data)
            reset_by_peer = self.streams_reset_by_peer(events)
            for event in events:
                if isinstance(event, e.StreamEnded) and event.stream_id in reset_by_peer:
                    continue
                if not self.on_event(event, calls):
                    self.calm("too many control frames")
                    break
            if self.bytes_since_event > MAX_FRAME_BYTES + self.config.max_header_list_bytes + READ_BYTES:
                self.calm("a header block goes on and on")
            self.pump()
            self.is_calling = bool(calls)
        try:
            for call in calls:
                call()
        finally:
            self.is_calling = False

    def streams_reset_by_peer(self, events: Sequence[e.Event]) -> set[int]:
        """Return the streams that a client has reset, so that their complete requests are not served.

        Return none for a client: a server may reset a stream that it has answered (RFC 9113, 8.1).
        """
        if self.config.is_client:
            return set()
        return {
            event.stream_id for event in events if isinstance(event, e.StreamReset) and event.remote_reset
        }

    def on_event(self, event: e.Event, calls: list[Callable[[], None]]) -> bool:
        """Handle one event, and add the call of the role; return False if the peer exceeds a frame budget."""
        role = self.role
        call = role_call(role, event)
        if call is not None:
            if isinstance(event, e.StreamReset):
                self._forget(event.stream_id)
            calls.append(call)
        elif isinstance(event, e.DataReceived):
            return self.on_data_received(event, calls)
        elif isinstance(event, e.WindowUpdated):
            return self.on_window_updated(event.stream_id)
        elif isinstance(event, e.RemoteSettingsChanged):
            if SettingCodes.INITIAL_WINDOW_SIZE in event.changed_settings:
                for stream in self.schedule.resume_all():
                    role.on_window_opened(stream)
            return role.on_cost("control")
        elif isinstance(event, e.PingAckReceived) and event.ping_data == PING_DATA:
            calls.append(role.on_pong)
        elif isinstance(event, (e.PingReceived, e.PriorityUpdated, e.UnknownFrameReceived)):
            return role.on_cost("control")
        return True

    def on_data_received(self, event: e.DataReceived, calls: list[Callable[[], None]]) -> bool:
        """Return the window of a part of a body; return False if the peer sends too many empty ones."""
        role, stream, data = self.role, event.stream_id, event.data
        self.return_window(stream, event.flow_controlled_length)
        if data:
            calls.append(lambda: role.on_data(stream, data))
        elif event.stream_ended is None:
            return role.on_cost("control")
        return True

    def on_window_updated(self, stream: int) -> bool:
        """Let a stream, or the connection (0), write again; return False if updates are too many."""
        if stream == 0:
            self.on_connection_window()
        elif self.schedule.resume(stream):
            self.role.on_window_opened(stream)
        return self.role.on_cost("window")

    def return_window(self, stream: int, count: int) -> None:
        """Return the window of received bytes; the role bounds the bytes that it stores."""
        if count:
            with contextlib.suppress(StreamClosedError):
                self.session.acknowledge_received_data(count, stream)

    def on_connection_window(self) -> None:
        """Record that the connection itself has window again."""
        if self.window_closed:
            self.window_closed = False
            self.role.on_window_opened(0)

    # Writing

    def open(
        self, headers: Sequence[Header], body: bytes, priority: Priority, on_opened: Callable[[int], None]
    ) -> int:
        """Open a client's next stream; return its id, 0 if none can be opened.

        `on_opened` is called with the id before a byte is written.
        """
        with self.lock:
            if self.ended:
                return 0
            try:
                stream = self.session.get_next_available_stream_id()
                if self.session.open_outbound_streams >= self.session.remote_settings.max_concurrent_streams:
                    return 0
            except H2Error:
                return 0
            on_opened(stream)
            self.send(stream, headers, body, priority)
            return stream

    def send(
        self, stream: int, headers: Sequence[Header], body: bytes | bytearray | memoryview, priority: Priority
    ) -> bool:
        """Send fields and a whole body; return False if the stream or the connection has ended."""
        with self.lock:
            if self.ended:
                return False
            try:
                self.session.send_headers(stream, headers, end_stream=not len(body))
            except H2Error:
                return False
            if len(body):
                self.bodies[stream] = memoryview(body)
                self.schedule.add(stream, len(body), priority)
            self.pump()
            return True

    def send_informational(self, stream: int, headers: Sequence[Header]) -> None:
        """Send an interim response (1xx)."""
        with self.lock:
            if not self.ended:
                try:
                    self.session.send_headers(stream, headers)
                except H2Error:
                    return
                self.pump()

    def reset(self, stream: int, code: ErrorCodes) -> None:
        """Reset a stream."""
        with self.lock:
            if self.ended:
                return
            self._forget(stream)
            try:
                self.session.reset_stream(stream, code)
            except H2Error:
                return
            self.pump()

    def go_away(self, last: bool, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        """Send a GOAWAY: the first with the highest id and a PING, the last with the last received id."""
        with self.lock:
            if not self.ended:
                self.session.goaway(
                    self.session.highest_inbound_stream_id if last else HIGHEST_STREAM_ID, code
                )
                if not last:
                    self.session.ping(PING_DATA)
                self.pump()

    def calm(self, text: str) -> None:
        """Send a GOAWAY with ENHANCE_YOUR_CALM, and end the connection."""
        with self.lock:
            if not self.ended:
                last = self.session.highest_inbound_stream_id
                self.session.goaway(last, ErrorCodes.ENHANCE_YOUR_CALM, text.encode())
                self._finish(f"calm: {text}")

    def finish(self, reason: str) -> None:
        """End the connection after the framed bytes are written."""
        with self.lock:
            if not self.ended:
                self._finish(reason)

    def abort(self, reason: str) -> None:
        """End the connection now."""
        with self.lock:
            self.end_reason = self.end_reason or reason
            self.ended = self.writer.is_closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def is_lingering(self) -> bool:
        """Return whether only this side has shut down; a close could lose frames not read by the peer."""
        return self.ended and not self.writer.is_closed

    def unwritten_bytes(self) -> int:
        """Return the number of unwritten bytes, framed or not."""
        with self.lock:
            body_bytes = sum(self.schedule.unwritten_bytes(stream) for stream in self.bodies)
            return 0 if self.writer.is_closed else len(self.writer.framed) + body_bytes

    def _finish(self, reason: str) -> None:
        self.end_reason = self.end_reason or reason
        self.writer.framed += self.session.data_to_send()
        self.ended = True
        for stream in list(self.bodies):
            self._forget(stream)
        self.writer.flush()
        if not self.writer.has_thread:
            self.end_writing()

    def end_writing(self) -> None:
        """Shut down writing; the reader then waits for the peer's end."""
        self.ended_us = now_us()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def abort_if_lingering(self, now: int) -> None:
        """Abort a connection whose peer has not closed within LINGER_TIMEOUT_S of this side's shutdown.

        Otherwise the reader would wait forever.
        """
        with self.lock:
            if self.ended_us and not self.writer.is_closed and now - self.ended_us > LINGER_TIMEOUT_S * 1e6:
                self.abort("lingers")

    def _linger(self) -> None:
        deadline_us = now_us() + int(LINGER_TIMEOUT_S * 1e6)
        try:
            while (remaining_us := deadline_us - now_us()) > 0 and not self.writer.is_closed:
                self.sock.settimeout(remaining_us / 1e6)
                if not sockets.read(self.sock, READ_BYTES):
                    return
        except OSError:
            pass

    def _forget(self, stream: int) -> None:
        self.schedule.drop(stream)
        self.bodies.pop(stream, None)

    def _window(self, stream: int) -> int:
        """Return the window of a stream; the schedule suspends a stream without window."""
        try:
            window = self.session.local_flow_control_window(stream)
        except H2Error:
            return 0
        if window <= 0:
            self.role.on_window_closed(stream)
        return window

    def pump(self, from_writer: bool = False) -> None:
        """Frame bytes of the schedule and flush them, as long as the kernel accepts them."""
        session = self.session
        self.writer.framed += session.data_to_send()
        if len(self.writer.framed) > MAX_FRAMED_BYTES:
            self.abort("answers to control frames are not read")
            return
        max_bytes = min(MAX_FRAME_BYTES, session.max_outbound_frame_size)
        while not self.ended:
            if len(self.writer.framed) >= FRAMED_BYTES and not self.writer.flush(from_writer):
                return
            if not self.schedule:
                break
            if session.outbound_flow_control_window <= 0:
                if not self.window_closed:
                    self.window_closed = True
                    self.role.on_window_closed(0)
                break
            scheduled = self.schedule.take(max_bytes, self._window)
            if scheduled is None:
                break
            stream, count = scheduled
            view = self.bodies[stream]
            is_complete = count == len(view)
            try:
                session.send_data(stream, view[:count], end_stream=is_complete)
            except H2Error:  # reset, and the event is not handled yet
                self._forget(stream)
                continue
            if is_complete:
                del self.bodies[stream]
            else:
                self.bodies[stream] = view[count:]
            self.writer.framed += session.data_to_send()
            self.role.on_written(stream, count, is_complete)
        self.writer.flush(from_writer)
