package org.comfreywall.entry.request;

/**
 * The permit of a request from the guard of its fingerprint.
 */
final class FlightHold {

	private final RequestContext context;

	private final RequestSpec spec;

	private boolean asked;

	private boolean permitted;

	private boolean cleared;

	FlightHold(RequestContext context, RequestSpec spec) {
		this.context = context;
		this.spec = spec;
	}

	void ask() {
		this.asked = true;
		this.context.emit(new AskFlight(this.spec.id(), this.spec.fingerprint(), this.cleared));
		this.cleared = false;
	}

	void permit() {
		this.permitted = true;
	}

	void clear() {
		this.cleared = true;
	}

	boolean isPermitted() {
		return this.permitted;
	}

	void end(FlightEnd end) {
		this.permitted = false;
		if (this.asked) {
			this.asked = false;
			this.context.emit(new EndFlight(this.spec.id(), this.spec.fingerprint(), end));
		}
	}

}
