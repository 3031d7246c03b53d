"""Final answers: each request gets exactly one, from the call that marks it as answered."""

from __future__ import annotations

from lupintack.core.core_state import CoreState
from lupintack.core.local_cache import Transfer
from lupintack.core.messages import Answer
from lupintack.core.request_log import RequestLog
from lupintack.core.request_table import RequestInFlight, RequestTable
from lupintack.interface import Fail, Reject


class Responder:
    """Answers requests and counts the answers. Used by the core's turn alone."""

    def __init__(self, state: CoreState, requests: RequestTable, request_log: RequestLog) -> None:
        """Use the shared state, the request table and the request log."""
        self._state = state
        self._requests = requests
        self._request_log = request_log

    def mark_answered(self, entry: RequestInFlight, counter: str) -> None:
        """Mark a request as answered, and count the answer by its kind and by the request's size."""
        entry.is_answered = True
        self._state.counters[counter] += 1
        if entry.size_bucket:
            self._state.counters[f"{entry.size_bucket}.{counter}"] += 1

    def serve(self, entry: RequestInFlight, answer: Answer, not_modified: bool) -> None:
        """Answer a request with a member's answer."""
        self.mark_answered(entry, "answered.served")
        entry.request.sink.serve(answer, not_modified)

    def serve_local_copy(self, number: int) -> None:
        """Answer from the local cache, or reject the request if the copy has been purged."""
        entry = self._requests.get(number)
        state = self._state
        if entry is None or entry.is_answered or state.local_cache is None:
            return
        transfer: Transfer | None = None
        table = state.member_table
        if not table.is_behind() and not table.is_purged_since(entry.request, state.purges_known):
            transfer = state.local_cache.start_transfer(entry.request, state.now_us)
        if transfer is None:
            self.finish(entry, Reject(number, self._retry_after_ms(), "the local copy was purged"))
            return
        self.mark_answered(entry, "answered.local_copy")
        entry.request.sink.serve(transfer.answer, transfer.not_modified)
        self._requests.forget_if_finished(entry)

    def finish_unserved(self, entry: RequestInFlight, reason: str) -> None:
        """Send the final answer of a request that the router has not answered.

        Without any attempt it is rejected, which lets the client repeat it safely; else it is failed.
        """
        number = entry.request.number
        if not entry.attempts_sent:
            self.finish(entry, Reject(number, self._retry_after_ms(), reason))
        else:
            self.finish(entry, Fail(number, reason))

    def _retry_after_ms(self) -> float:
        """Return the time after which the client may retry, as for any other rejection."""
        return self._state.router.admission.retry_after_ms()

    def finish(self, entry: RequestInFlight, action: Reject | Fail) -> None:
        """Reject or fail a request, with a log line."""
        request = entry.request
        self._request_log.log_unserved(
            self._state.now_us,
            entry,
            action,
            class_name=self._state.settings.classes[request.class_index].name,
        )
        if isinstance(action, Reject):
            self.mark_answered(entry, "answered.rejected")
            request.sink.reject(int(action.retry_after_ms))
        else:
            self.mark_answered(entry, "answered.failed")
            request.sink.fail()
        self._requests.forget_if_finished(entry)
