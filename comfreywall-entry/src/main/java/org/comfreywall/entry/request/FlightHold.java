package org.comfreywall.entry.request;

/**
 * A request's permit from the guard of its fingerprint.
 */
final class FlightHold {

	private final RequestContext context;

	private final RequestSpec spec;

	private boolean asked;

	private boolean permitted;

	FlightHold(RequestContext context, RequestSpec spec) {
		this.context = context;
		this.spec = spec;
	}

	void ask() {
		this.asked = true;
		this.context.emit(new AskFlight(this.spec.id(), this.spec.fingerprint()));
	}

	void permit() {
		this.permitted = true;
	}

	boolean isPermitted() {
		return this.permitted;
	}

	void end(FlightEnd end) {
		if (this.asked) {
			this.asked = false;
			this.context.emit(new EndFlight(this.spec.id(), this.spec.fingerprint(), end));
		}
	}

}
