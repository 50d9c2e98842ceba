"""Decides when an agent starts, replaces and ends the processes of its node. No I/O.

To replace a process, the agent starts a candidate beside the serving process. The serving process is
terminated only when the candidate is ready and has reported that it follows a plan in force which orders its
release ("confirmed commit": RFC 6241, 8.4). Otherwise the candidate is ended, and the process that had handed
over to it serves again.

`Supervisor` has one method for each kind of event, with the time first, and acts through `Host`. Times are
seconds on the agent's monotonic clock.
"""

from __future__ import annotations

import signal

from firwalk.agent.supervisor_state import ChildProcess, Host, RolloutOrder, SupervisorState, Timeouts

TERMINATE_TIMEOUT_S = 6.0
INITIAL_RESTART_BACKOFF_S = 0.5  # Doubles with each consecutive exit of the serving process.
MAX_RESTART_BACKOFF_S = 30.0
RETRY_INTERVAL_S = 5.0
STABLE_AFTER_S = 60.0  # Serving for this long resets the restart backoff.
MAX_FAILED_CHECKS = 3
# Exit codes of processes that were killed from outside, which is no fault of the release.
EXTERNAL_EXIT_CODES = (-signal.SIGKILL, -signal.SIGTERM, -signal.SIGINT)


class Supervisor:
    """The supervisor of one node's processes."""

    def __init__(self, host: Host, state: SupervisorState, timeouts: Timeouts | None = None) -> None:
        self.host = host
        self.state = state
        self.timeouts = timeouts or Timeouts()
        self.pending_order: RolloutOrder | None = None  # settings applied but not yet reported in force
        self.applied_at = 0.0
        self.restart_at = 0.0
        self.retry_at = 0.0
        self.consecutive_exits = 0  # of serving processes
        self.consecutive_failed_checks = 0
        self.is_stopping = False

    # -- events --------------------------------------------------------------------------------------------

    def agent_started(self, now: float) -> None:
        """Continue from the stored state; the host attaches to its processes or reports their end."""
        state = self.state
        for child in state.children():
            child.started_at = now
            child.answered_at = now
            child.ready_at = child.ready_at and now
        if state.draining is not None:  # resend: the agent may have exited before it sent the signal
            self._terminate(now, state.draining)
        if state.serving is None and state.draining is None:
            self._promote_candidate()
        self.tick(now)

    def children(self) -> list[ChildProcess]:
        """Return all processes of the node."""
        return self.state.children()

    def process_answered(self, now: float, child: ChildProcess, is_ready: bool) -> None:
        """Handle an answer on the process's management address; `is_ready`: it accepts clients."""
        child.answered_at = now
        if is_ready and not child.ready_at:
            child.ready_at = now
            self.host.event("ready", release=child.release, pid=child.pid)

    def process_ended(self, now: float, child: ChildProcess, exit_code: int | None) -> None:
        """Handle the exit of a process; the exit code is as in `subprocess`, None if unknown."""
        self._log_end(child, exit_code)
        state = self.state
        if child is state.draining:
            state.draining = None
            self.host.save(state)
        elif child is state.candidate:
            state.candidate = None
            self.retry_at = now + RETRY_INTERVAL_S
            if not self.is_stopping:
                was_stopped_by_agent = child.is_killed or child.terminated_at
                self._record_failure(
                    child.rollout_number, "" if was_stopped_by_agent else "it does not come up"
                )
        elif child is state.serving:
            self._serving_ended(now, child, exit_code)

    def check_completed(self, succeeded: bool) -> None:
        """Handle the result of the operators' check of the serving process."""
        child = self.state.serving
        self.consecutive_failed_checks = 0 if succeeded else self.consecutive_failed_checks + 1
        if (
            self.consecutive_failed_checks < MAX_FAILED_CHECKS
            or child is None
            or not self._is_on_trial(child)
        ):
            return
        if child.rollout_number not in self.state.failures:
            self._record_failure(child.rollout_number, "the check says that it answers wrongly")

    def failure_acknowledged(self, rollout_number: int) -> None:
        """Record that the coordinator knows of the failed rollout on this node."""
        if rollout_number not in self.state.acknowledged_failures:
            self.state.acknowledged_failures.append(rollout_number)
            self.host.save(self.state)

    def plan_reported(self, now: float, child: ChildProcess, order: RolloutOrder | None, tag: str) -> None:
        """Handle a process's report of the plan's order (None: no plan in force) and of its settings tag."""
        if order is None:
            return
        if child is self.state.candidate:
            self._candidate_reported(now, child, order)
        elif child is self.state.serving:
            if order.is_release():
                self._release_ordered(now, child, order)
            else:
                self._settings_ordered(now, order, tag)

    def tick(self, now: float) -> None:
        """Take the steps that are due."""
        state = self.state
        must_start_serving = state.serving is None and state.candidate is None and not self.is_stopping
        if must_start_serving and now >= self.restart_at:
            self._start_serving(now)
        if state.candidate is not None and not self.is_stopping:
            self._check_candidate(now, state.candidate)
        for child in self.children():
            is_overdue = child.terminated_at and now >= child.terminated_at + TERMINATE_TIMEOUT_S
            if is_overdue and not child.is_killed:
                self._kill(child)
        serving = state.serving
        if serving is not None:
            if state.candidate is None and self._is_hanging(now, serving):
                self._handle_hang(now, serving)
            self._report_failures(serving)

    def stop(self, now: float) -> bool:
        """Shut down all processes with the agent; return whether all have exited."""
        self.is_stopping = True
        for child in self.children():
            if not child.terminated_at:
                self._terminate(now, child)
        return not self.children()

    # -- process exit --------------------------------------------------------------------------------------

    def _log_end(self, child: ChildProcess, exit_code: int | None) -> None:
        role = "leaving"
        if child is self.state.serving:
            role = "serving"
        elif child is self.state.candidate:
            role = "coming"
        code = "unknown" if exit_code is None else exit_code
        self.host.event("process_ended", release=child.release, pid=child.pid, which=role, code=code)

    def _serving_ended(self, now: float, child: ChildProcess, exit_code: int | None) -> None:
        state = self.state
        state.serving = None
        if self.is_stopping:
            return
        is_crash = exit_code is not None and exit_code not in (0, *EXTERNAL_EXIT_CODES)
        if state.candidate is not None:
            self._promote_candidate()
        elif is_crash and not child.is_killed and self._is_on_trial(child):
            self._roll_back(now, child, f"it crashed with {exit_code}")
        else:
            if child.answered_at > child.started_at + STABLE_AFTER_S:
                self.consecutive_exits = 0
            self.consecutive_exits += 1
            backoff_s = min(
                INITIAL_RESTART_BACKOFF_S * 2 ** (self.consecutive_exits - 1), MAX_RESTART_BACKOFF_S
            )
            self.restart_at = now + backoff_s
        self.host.save(state)

    def _promote_candidate(self) -> None:
        """Make the candidate the serving process; the node has no other one."""
        if self.state.candidate is not None:
            self.state.serving = self.state.candidate
            self.state.candidate = None

    def _is_on_trial(self, child: ChildProcess) -> bool:
        """Whether it runs the release of a rollout in progress, and there is a release to roll back to."""
        previous = self.state.previous
        return bool(child.rollout_number and previous and child.release != previous)

    def _roll_back(self, now: float, child: ChildProcess, reason: str) -> None:
        """Return to the previous release at once: the process on trial has exited or hangs."""
        self.state.release = self.state.previous
        self._record_failure(child.rollout_number, reason)
        self.restart_at = now

    def _record_failure(self, rollout_number: int, reason: str) -> None:
        """Record the first failure of a rollout, if there is a rollout and a reason; save the state."""
        if rollout_number and reason and rollout_number not in self.state.failures:
            self.state.failures[rollout_number] = reason
            self.host.event("change_failed", number=rollout_number, why=reason)
        self.host.save(self.state)

    def _report_failures(self, serving: ChildProcess) -> None:
        if not serving.ready_at or serving.is_killed:
            return
        for rollout_number, reason in self.state.failures.items():
            if rollout_number not in self.state.acknowledged_failures:
                self.host.report_failure(rollout_number, reason)

    # -- releases ------------------------------------------------------------------------------------------

    def _candidate_reported(self, now: float, child: ChildProcess, order: RolloutOrder) -> None:
        if child.terminated_at or not child.ready_at:
            return
        if not order.is_release() or order.target == child.release:
            self._confirm(now, child)
        else:  # the plan no longer orders its release
            self._terminate_candidate(now, child, "")

    def _confirm(self, now: float, child: ChildProcess) -> None:
        """Make the candidate the serving process, and terminate the previous one."""
        state = self.state
        state.previous = state.serving.release if state.serving else state.previous
        state.draining = state.serving
        state.serving = child
        state.candidate = None
        state.release = child.release
        self.consecutive_exits = 0
        self.consecutive_failed_checks = 0
        self.host.save(state)
        self.host.event("confirmed", release=child.release, pid=child.pid)
        if state.draining is not None:
            self._terminate(now, state.draining)

    def _release_ordered(self, now: float, serving: ChildProcess, order: RolloutOrder) -> None:
        state = self.state
        if state.candidate is not None or state.draining is not None or self.is_stopping:
            return
        if serving.release == order.target:
            is_on_trial = order.is_on_trial and order.target != state.previous
            serving.rollout_number = order.rollout_number if is_on_trial else 0
            return
        has_failed = order.is_on_trial and order.rollout_number in state.failures
        if not has_failed and now >= self.retry_at:
            state.previous = serving.release
            self._start_candidate(now, serving, order)

    def _start_candidate(self, now: float, serving: ChildProcess, order: RolloutOrder) -> None:
        state = self.state
        rollout_number = order.rollout_number if order.is_on_trial else 0  # a rollback is always retried
        child = ChildProcess(
            order.target,
            1 - serving.slot,
            rollout_number=rollout_number,
            started_at=now,
            answered_at=now,
        )
        state.candidate = child
        self._start_child(child, order.rollout_number)
        if not child.pid:
            state.candidate = None
            self.retry_at = now + RETRY_INTERVAL_S
            self._record_failure(
                rollout_number, f"there is no release {child.release} here that can be started"
            )
        self.host.save(state)

    def _start_serving(self, now: float) -> None:
        state = self.state
        slot = 1 - state.draining.slot if state.draining is not None else 0
        child = ChildProcess(state.release, slot, started_at=now, answered_at=now)
        state.serving = child
        self._start_child(child, 0)
        if not child.pid:
            state.serving = None
            self.restart_at = now + MAX_RESTART_BACKOFF_S
        self.host.save(state)

    def _start_child(self, child: ChildProcess, rollout_number: int) -> None:
        """Start a process that the state already has; save first, for an agent that restarts here."""
        self.host.save(self.state)
        child.pid = self.host.start(child.release, child.slot)
        self.host.event("starting", release=child.release, pid=child.pid, number=rollout_number)

    def _check_candidate(self, now: float, child: ChildProcess) -> None:
        """End a candidate that has missed one of its timeouts."""
        if child.is_killed or child.terminated_at:
            return
        if not child.ready_at:
            if now >= child.started_at + self.timeouts.ready_s:
                self._kill_candidate(child, "it is not ready in time")
        elif now >= child.answered_at + self.timeouts.hang_s:
            self._kill_candidate(child, "it hangs")
        elif now >= child.ready_at + self.timeouts.confirm_s:
            self._terminate_candidate(now, child, "it does not follow the plan")

    def _terminate_candidate(self, now: float, child: ChildProcess, reason: str) -> None:
        """Terminate a candidate that may have clients; the serving process then accepts clients again."""
        child.terminated_at = now
        self._record_failure(child.rollout_number, reason)
        self.host.terminate(child)

    def _kill_candidate(self, child: ChildProcess, reason: str) -> None:
        """Kill a candidate that is not ready or hangs."""
        child.is_killed = True
        self._record_failure(child.rollout_number, reason)
        self.host.kill(child)

    def _terminate(self, now: float, child: ChildProcess) -> None:
        child.terminated_at = now
        self.host.terminate(child)

    def _kill(self, child: ChildProcess) -> None:
        child.is_killed = True
        self.host.kill(child)

    def _is_hanging(self, now: float, child: ChildProcess) -> bool:
        if not child.ready_at or child.terminated_at or child.is_killed:
            return False
        return now >= child.answered_at + self.timeouts.hang_s

    def _handle_hang(self, now: float, child: ChildProcess) -> None:
        child.is_killed = True
        self.host.event("hangs", release=child.release, pid=child.pid)
        if self._is_on_trial(child):
            self._roll_back(now, child, "it hangs")
        self.host.kill(child)

    # -- settings ------------------------------------------------------------------------------------------

    def _settings_ordered(self, now: float, order: RolloutOrder, tag: str) -> None:
        """Apply the settings; roll back and report those that are not in force in time."""
        pending_order = self.pending_order
        if tag == order.target:
            if pending_order is not None and pending_order.target == tag:
                self.pending_order = None
                self.host.event("confirmed", tag=tag)
        elif pending_order is not None and _is_same_rollout(pending_order, order):
            if now >= self.applied_at + self.timeouts.confirm_s:
                self._settings_failed(now, order, "the settings were not taken over")
        elif now >= self.retry_at:
            has_failed = order.is_on_trial and order.rollout_number in self.state.failures
            if not has_failed:
                self._apply_settings(now, order, tag)

    def _apply_settings(self, now: float, order: RolloutOrder, previous_tag: str) -> None:
        self.state.previous = previous_tag
        self.state.tag = order.target
        self.host.save(self.state)
        self.pending_order = order
        self.applied_at = now
        reason = self.host.apply_settings(order.target)
        self.host.event("applied", tag=order.target, number=order.rollout_number)
        if reason:
            self._settings_failed(now, order, reason)

    def _settings_failed(self, now: float, order: RolloutOrder, reason: str) -> None:
        self.state.tag = self.state.previous
        self.pending_order = None
        self.retry_at = now + RETRY_INTERVAL_S
        self._record_failure(order.rollout_number if order.is_on_trial else 0, reason)
        self.host.apply_settings(self.state.previous)


def _is_same_rollout(first: RolloutOrder, second: RolloutOrder) -> bool:
    return first.rollout_number == second.rollout_number and first.target == second.target
