package org.comfreywall.daemon.sidecar;

import org.comfreywall.transport.attempt.AttemptPayload;

/**
 * An attempt that runs, or is about to run, on the backend server.
 */
final class BackendRun {

	private final AttemptPayload payload;

	private BackendCall call;

	private boolean paused;

	BackendRun(AttemptPayload payload) {
		this.payload = payload;
	}

	AttemptPayload payload() {
		return this.payload;
	}

	void setCall(BackendCall running) {
		this.call = running;
	}

	void cancel() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	void setPaused(boolean blocked) {
		if (this.call == null || blocked == this.paused) {
			return;
		}
		this.paused = blocked;
		if (blocked) {
			this.call.pause();
		}
		else {
			this.call.resume();
		}
	}

}
