package org.comfreywall.bench.life;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.group.life.EngineActivity;
import org.comfreywall.group.mapswitch.Member;

/**
 * A simulated backend server that can crash, stall or lose its reports, each until a
 * given time.
 */
final class SimulatedServer {

	/**
	 * A shorter recovery may fall between two reports, so the stalls before and after it
	 * count as one.
	 */
	private static final long MIN_VISIBLE_RECOVERY_NANOS = 600_000_000;

	private final BackendServerId server;

	private long incarnation = 1;

	private long downUntil;

	private long stalledSince;

	private long stalledUntil;

	private long reportsLostUntil;

	private long stalledStep;

	private long recoveryReportedAt = Long.MAX_VALUE;

	SimulatedServer(String name) {
		this.server = BackendServerId.of(name);
	}

	Member member() {
		return new Member(this.server, Incarnation.of(this.incarnation));
	}

	boolean matches(Member other) {
		return member().equals(other);
	}

	boolean isDown(long now) {
		return now < this.downUntil;
	}

	boolean isStalled(long now) {
		return now < this.stalledUntil;
	}

	boolean losesReports(long now) {
		return now < this.reportsLostUntil;
	}

	long stallLength(long now) {
		return Math.min(now, this.stalledUntil) - this.stalledSince;
	}

	/**
	 * Returns whether a report sent at a given time or earlier showed that the last stall
	 * had ended. A server whose reports are lost shows this only with a later report.
	 * @param time the time in nanoseconds
	 * @return {@code true} if such a report was sent
	 */
	boolean reportedRecoveryBy(long time) {
		return this.recoveryReportedAt <= time;
	}

	/**
	 * Records a report that the server sent. The first report after a stall may still
	 * carry the step at which the server stalled, which does not show a recovery.
	 * @param now the current time in nanoseconds
	 * @param step the reported step
	 * @param activity the reported activity
	 */
	void recordReport(long now, long step, EngineActivity activity) {
		boolean progresses = step > this.stalledStep || activity == EngineActivity.WAITING_FOR_PEERS;
		if (progresses && now >= this.stalledUntil && this.recoveryReportedAt == Long.MAX_VALUE) {
			this.recoveryReportedAt = now;
		}
	}

	void crash(long now, long duration) {
		this.incarnation++;
		this.downUntil = now + duration;
		this.stalledUntil = 0;
		this.stalledSince = 0;
	}

	void stall(long now, long duration, long step) {
		if (now - this.stalledUntil >= MIN_VISIBLE_RECOVERY_NANOS) {
			this.stalledSince = now;
		}
		this.stalledUntil = now + duration;
		this.stalledStep = step;
		this.recoveryReportedAt = Long.MAX_VALUE;
	}

	void loseReports(long now, long duration) {
		this.reportsLostUntil = now + duration;
	}

	void restart() {
		this.incarnation++;
	}

}
