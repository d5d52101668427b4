package org.comfreywall.bench.spread;

/**
 * The messages and bytes that one node sent and received, and its processor time.
 */
final class Traffic {

	private long messagesOut;

	private long bytesOut;

	private long messagesIn;

	private long bytesIn;

	private long cpuNanos;

	void recordSent(int bytes) {
		this.messagesOut++;
		this.bytesOut += bytes;
	}

	void recordReceived(int bytes) {
		this.messagesIn++;
		this.bytesIn += bytes;
	}

	void recordCpuTime(long nanos) {
		this.cpuNanos += nanos;
	}

	void reset() {
		this.messagesOut = 0;
		this.bytesOut = 0;
		this.messagesIn = 0;
		this.bytesIn = 0;
		this.cpuNanos = 0;
	}

	long messages() {
		return this.messagesOut + this.messagesIn;
	}

	long messagesIn() {
		return this.messagesIn;
	}

	long bytes() {
		return this.bytesOut + this.bytesIn;
	}

	long cpuNanos() {
		return this.cpuNanos;
	}

}
