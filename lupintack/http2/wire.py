"""One HTTP/2 connection on a blocking socket, in either role. Nothing here knows what is asked or answered.

One thread reads. Whoever has something writes it: under the connection's lock, as far as the kernel takes it
at once. What is left over goes to a thread that is made for it and ends with it, so that no caller ever waits
for a slow peer. Bodies wait in the schedule, not in frames: about OUT_LOW bytes of frames stand before the
kernel, and what is urgent overtakes at the next frame.

The peer's events reach a `Role` on the reader's thread without the lock; the calls that tell of bytes and
windows come under it, and must neither block nor call back.
"""

from __future__ import annotations

import logging
import select
import socket
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from h2 import events as e
from h2.errors import ErrorCodes
from h2.exceptions import H2Error, ProtocolError, StreamClosedError
from h2.settings import SettingCodes

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.http2.schedule import Fifo, Priority, Schedule
from lupintack.http2.session import HIGHEST, Session
from lupintack.logs import fields

LOG = logging.getLogger("http2")
READ = 16384
OUT_LOW = 32768  # bytes of frames that stand before the kernel
OUT_MOST = 262_144  # answers to control frames that a peer does not read
FRAME = 16384  # of a body, at most
UNSENT = 32768  # bytes that the kernel holds and has not sent: what is urgent can't overtake these
WRITE_LIMIT_MS = 10_000  # a peer whose kernel takes nothing for so long is cut off
LINGER_S = 1.5  # after our end the rest is read so long, or a reset might take the last frames from the peer
PING = b"lupintck"

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class WireTerms:
    """What is told to the peer in SETTINGS; sizes are in bytes."""

    client: bool = False
    streams: int = 100
    header_list: int = 8192
    stream_window: int = 65_535
    connection_window: int = 65_535
    fifo: bool = False  # the baseline of the measurements


class Role:
    """What a server or a client does with its connection; a method that is not overridden does nothing."""

    def on_headers(self, stream: int, headers: Sequence[Header]) -> None:
        """A request's fields at a server, an answer's at a client."""

    def on_trailers(self, stream: int, headers: Sequence[Header]) -> None:
        """Fields after the body."""

    def on_data(self, stream: int, data: bytes) -> None:
        """A part of a body; its window is given back already."""

    def on_end(self, stream: int) -> None:
        """The peer has said all of it."""

    def on_reset(self, stream: int, code: int) -> None:
        """The peer has given a stream up, or what it sent ended it."""

    def on_goaway(self, last: int, code: int) -> None:
        """The peer takes no streams above `last`."""

    def on_pong(self) -> None:
        """Our PING came back."""

    def on_cost(self, kind: str) -> bool:
        """A frame that costs: "control" or "window". False: the peer has sent too many."""
        return True

    def on_over(self, why: str) -> None:
        """The connection has ended; called once, and nothing after it."""

    def wrote(self, stream: int, count: int, whole: bool) -> None:
        """Bytes of a body are out. Under the lock."""

    def shut(self, stream: int) -> None:
        """A stream, or all of the connection (0), waits for window. Under the lock."""

    def opened(self, stream: int) -> None:
        """It has window again. Under the lock."""


class Wire:
    """The connection."""

    def __init__(
        self,
        sock: socket.socket,
        terms: WireTerms,
        role: Role,
        spawn: Callable[[Callable[[], None], str], None],
    ) -> None:
        self.sock = sock
        self.terms = terms
        self.role = role
        self.spawn = spawn
        self.lock = threading.RLock()
        self.session = Session(terms.client, terms.streams, terms.header_list, terms.stream_window)
        self.schedule: Schedule = Fifo() if terms.fifo else Schedule()
        self.bodies: dict[int, memoryview] = {}
        self.out = bytearray()
        self.writing = False  # a thread is at it
        self.shut = False  # the connection's own window
        self.ended = False  # nothing more is written
        self.dead = False  # the socket is of no more use
        self.quiet = 0  # bytes since the last event: of a frame, or of a header block, that goes on and on
        self.calling = False  # what has come is on its way to the role
        self.why = ""
        self.ended_us = 0
        self.received_us = now_us()  # when the bytes that are read now came
        sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT)

    # Reading

    def run(self) -> None:
        """Read until the connection ends; the thread's whole life."""
        try:
            with self.lock:
                self.session.initiate_connection()
                more = self.terms.connection_window - 65_535
                if more > 0:
                    self.session.increment_flow_control_window(more)
                self._pump()
            while not self.ended:
                try:
                    data = sockets.read(self.sock, READ)
                except BlockingIOError:
                    continue  # a limit inherited from the listener that could not be lifted
                if not data:
                    self.why = self.why or "closed"
                    break
                # A process that was kept from running reads them long after.
                self.received_us = now_us() - sockets.since_received_us(self.sock)
                self.receive(data)
            if self.ended and not self.dead:
                self._linger()
        except OSError as error:
            self.why = self.why or f"broken: {error.strerror or error}"
        except Exception:  # a fault of ours must not show as a silent drop
            LOG.exception("connection failed")
            self.why = "fault"
        finally:
            with self.lock:
                self.ended = self.dead = True
                self.bodies.clear()
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.sock.close()
            self.role.on_over(self.why)

    def receive(self, data: bytes) -> None:
        """Bytes have come: what they mean, to the role."""
        calls: list[Callable[[], None]] = []
        with self.lock:
            if self.ended:
                return
            try:
                found = self.session.receive_data(data)
            except ProtocolError as error:
                # h2 has worded the GOAWAY; what came before in these bytes is dropped with it, unheard.
                self._finish(f"protocol: {type(error).__name__}: {error}")
                return
            except (H2Error, ValueError, KeyError, IndexError) as error:
                self.session.goaway(0, ErrorCodes.PROTOCOL_ERROR)
                self._finish(f"protocol: {type(error).__name__}: {error}")
                return
            self.quiet = 0 if found else self.quiet + len(data)
            given_up = self._given_up(found)
            for event in found:
                if isinstance(event, e.StreamEnded) and event.stream_id in given_up:
                    continue
                if not self._digest(event, calls):
                    self.calm("too many control frames")
                    break
            if self.quiet > FRAME + self.terms.header_list + READ:
                self.calm("a header block goes on and on")
            self._pump()
            self.calling = bool(calls)
        try:
            for call in calls:
                call()
        finally:
            self.calling = False

    def _given_up(self, found: Sequence[e.Event]) -> set[int]:
        """Streams whose requests are not handed on as whole, as a reset has come: they would be served.

        A client hands an answer on all the same: a server may reset what it has answered (RFC 9113, 8.1).
        """
        if self.terms.client:
            return set()
        return {one.stream_id for one in found if isinstance(one, e.StreamReset) and one.remote_reset}

    def _digest(self, event: e.Event, calls: list[Callable[[], None]]) -> bool:
        """What one event changes here, and the call of the role that it makes."""
        role = self.role
        if isinstance(event, (e.RequestReceived, e.ResponseReceived)):
            stream, headers = event.stream_id, event.headers
            calls.append(lambda: role.on_headers(stream, headers))
        elif isinstance(event, e.DataReceived):
            self._give_back(event.stream_id, event.flow_controlled_length)
            stream, data = event.stream_id, event.data
            if data:
                calls.append(lambda: role.on_data(stream, data))
            elif event.stream_ended is None:
                return role.on_cost("control")
        elif isinstance(event, e.StreamEnded):
            stream = event.stream_id
            calls.append(lambda: role.on_end(stream))
        elif isinstance(event, e.TrailersReceived):
            stream, headers = event.stream_id, event.headers
            calls.append(lambda: role.on_trailers(stream, headers))
        elif isinstance(event, e.StreamReset):
            stream, code = event.stream_id, int(event.error_code or 0)
            self._forget(stream)
            calls.append(lambda: role.on_reset(stream, code))
        elif isinstance(event, e.WindowUpdated):
            if event.stream_id == 0:
                self._opened()
            elif self.schedule.allow(event.stream_id):
                role.opened(event.stream_id)
            return role.on_cost("window")
        elif isinstance(event, e.RemoteSettingsChanged):
            if SettingCodes.INITIAL_WINDOW_SIZE in event.changed_settings:
                for one in self.schedule.allow_all():
                    role.opened(one)
            return role.on_cost("control")
        elif isinstance(event, e.ConnectionTerminated):
            last, number = event.last_stream_id or 0, int(event.error_code or 0)
            calls.append(lambda: role.on_goaway(last, number))
        elif isinstance(event, e.PingAckReceived):
            if event.ping_data == PING:
                calls.append(role.on_pong)
        elif isinstance(event, (e.PingReceived, e.PriorityUpdated, e.UnknownFrameReceived)):
            return role.on_cost("control")
        return True

    def _give_back(self, stream: int, count: int) -> None:
        """The window of what has come; the role bounds what it keeps."""
        if count:
            try:
                self.session.acknowledge_received_data(count, stream)
            except StreamClosedError:
                pass

    def _opened(self) -> None:
        if self.shut:
            self.shut = False
            self.role.opened(0)

    # Writing

    def open(
        self, headers: Sequence[Header], body: bytes, priority: Priority, made: Callable[[int], None]
    ) -> int:
        """A client's next stream; `made` hears its number before a byte is out. 0: none can be opened."""
        with self.lock:
            if self.ended:
                return 0
            try:
                stream = self.session.get_next_available_stream_id()
                if self.session.open_outbound_streams >= self.session.remote_settings.max_concurrent_streams:
                    return 0
            except H2Error:
                return 0
            made(stream)
            self.send(stream, headers, body, priority)
            return stream

    def send(
        self, stream: int, headers: Sequence[Header], body: bytes | bytearray | memoryview, priority: Priority
    ) -> bool:
        """Fields and a whole body; False where the stream, or the connection, is over."""
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
            self._pump()
            return True

    def inform(self, stream: int, headers: Sequence[Header]) -> None:
        """An interim answer (1xx)."""
        with self.lock:
            if not self.ended:
                try:
                    self.session.send_headers(stream, headers)
                except H2Error:
                    return
                self._pump()

    def reset(self, stream: int, code: ErrorCodes) -> None:
        """Give a stream up."""
        with self.lock:
            if self.ended:
                return
            self._forget(stream)
            try:
                self.session.reset_stream(stream, code)
            except H2Error:
                return
            self._pump()

    def go_away(self, last: bool, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        """A GOAWAY: the first with the highest id there is, and a PING; the last with what has come."""
        with self.lock:
            if not self.ended:
                self.session.goaway(self.session.highest_inbound_stream_id if last else HIGHEST, code)
                if not last:
                    self.session.ping(PING)
                self._pump()

    def calm(self, text: str) -> None:
        """GOAWAY with ENHANCE_YOUR_CALM, and the end."""
        with self.lock:
            if not self.ended:
                last = self.session.highest_inbound_stream_id
                self.session.goaway(last, ErrorCodes.ENHANCE_YOUR_CALM, text.encode())
                self._finish(f"calm: {text}")

    def finish(self, why: str) -> None:
        """All is said: what is framed goes out, then the end."""
        with self.lock:
            if not self.ended:
                self._finish(why)

    def abort(self, why: str) -> None:
        """The end, now."""
        with self.lock:
            self.why = self.why or why
            self.ended = self.dead = True
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def lingers(self) -> bool:
        """Whether our end is sent and the peer's still awaited: a close now could reset what it reads."""
        return self.ended and not self.dead

    def unwritten(self) -> int:
        """Bytes that wait here, framed or not."""
        with self.lock:
            waiting = sum(self.schedule.left(stream) for stream in self.bodies)
            return 0 if self.dead else len(self.out) + waiting

    def _finish(self, why: str) -> None:
        self.why = self.why or why
        self.out += self.session.data_to_send()
        self.ended = True
        for stream in list(self.bodies):
            self._forget(stream)
        self._flush()
        if not self.writing:
            self._shut_write()

    def _shut_write(self) -> None:
        """Our end; the reader sees the peer's, or lingers for it."""
        self.ended_us = now_us()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def tick(self, now: int) -> None:
        """Guards against a peer that neither reads on nor closes after our end: its read would wait for
        good.
        """
        with self.lock:
            if self.ended_us and not self.dead and now - self.ended_us > LINGER_S * 1e6:
                self.abort("lingers")

    def _linger(self) -> None:
        until = now_us() + int(LINGER_S * 1e6)
        try:
            while (left := until - now_us()) > 0 and not self.dead:
                self.sock.settimeout(left / 1e6)
                if not sockets.read(self.sock, READ):
                    return
        except OSError:
            pass

    def _forget(self, stream: int) -> None:
        self.schedule.drop(stream)
        self.bodies.pop(stream, None)

    def _window(self, stream: int) -> int:
        """What the stream may write; the schedule sets it aside where that is nothing."""
        try:
            window = self.session.local_flow_control_window(stream)
        except H2Error:
            return 0
        if window <= 0:
            self.role.shut(stream)
        return window

    def _pump(self, writer: bool = False) -> None:
        """From the schedule into frames, and from frames to the kernel, as long as it takes them."""
        session = self.session
        self.out += session.data_to_send()
        if len(self.out) > OUT_MOST:
            self.abort("answers to control frames are not read")
            return
        most = min(FRAME, session.max_outbound_frame_size)
        while not self.ended:
            if len(self.out) >= OUT_LOW and not self._flush(writer):
                return
            if not self.schedule:
                break
            if session.outbound_flow_control_window <= 0:
                if not self.shut:
                    self.shut = True
                    self.role.shut(0)
                break
            taken = self.schedule.take(most, self._window)
            if taken is None:
                break
            stream, count = taken
            view = self.bodies[stream]
            whole = count == len(view)
            try:
                session.send_data(stream, view[:count], end_stream=whole)
            except H2Error:  # reset, and its event has not come to us yet
                self._forget(stream)
                continue
            if whole:
                del self.bodies[stream]
            else:
                self.bodies[stream] = view[count:]
            self.out += session.data_to_send()
            self.role.wrote(stream, count, whole)
        self._flush(writer)

    def _flush(self, writer: bool = False) -> bool:
        """Frames to the kernel; False where some are left, for the writer's thread."""
        if self.dead or (self.writing and not writer):
            return not self.out
        if not self.out or self._write_now():
            return True
        if not writer:
            self.writing = True
            try:
                self.spawn(self._write_on, "http2 writer")
            except RuntimeError as error:
                LOG.error("no thread for a writer", extra=fields(reason=error))
                self.abort("no thread")
        return False

    def _write_now(self) -> bool:
        """What the kernel takes without waiting; True when nothing is left."""
        try:
            done = sockets.send_now(self.sock, self.out)
        except OSError as error:
            self.abort(f"broken: {error.strerror or error}")
            return True
        del self.out[:done]
        return not self.out

    def _write_on(self) -> None:
        """A slow peer's bytes, at its own pace; the thread ends when all that can be written is."""
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLOUT)
        except (OSError, ValueError):  # closed in between
            self.writing = False
            return
        while True:
            ready = poll.poll(WRITE_LIMIT_MS)
            with self.lock:
                if not ready:
                    self.abort("the peer takes nothing")
                if not self.dead:
                    self._pump(writer=True)
                if self.dead or not self.out:
                    self.writing = False
                    if self.ended and not self.dead:
                        self._shut_write()
                    return
