package org.comfreywall.entry.request;

/**
 * The permit of a request from the guard of its fingerprint.
 */
final class FlightPermitHandle {

	private final RequestContext context;

	private final RequestSpec spec;

	private boolean requested;

	private boolean permitted;

	private boolean cleared;

	FlightPermitHandle(RequestContext context, RequestSpec spec) {
		this.context = context;
		this.spec = spec;
	}

	void requestPermit() {
		this.requested = true;
		this.context.emit(new RequestFlightPermit(this.spec.id(), this.spec.fingerprint(), this.cleared));
		this.cleared = false;
	}

	void markPermitted() {
		this.permitted = true;
	}

	void markCleared() {
		this.cleared = true;
	}

	boolean isPermitted() {
		return this.permitted;
	}

	void reportEnd(FlightEnd end) {
		this.permitted = false;
		if (this.requested) {
			this.requested = false;
			this.context.emit(new ReportFlightEnd(this.spec.id(), this.spec.fingerprint(), end));
		}
	}

}
