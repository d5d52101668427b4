package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.InstanceId;

/**
 * Holds the reports that the parent has not confirmed; of each node only the newest.
 */
final class ReportQueue {

	private static final int MAX_BATCH = 256;

	private final Map<InstanceId, Numbered> pending = new LinkedHashMap<>();

	private long sequence;

	private long resetSequence;

	private long acknowledged;

	void add(MemberReport report) {
		this.pending.remove(report.node().id());
		this.pending.put(report.node().id(), new Numbered(++this.sequence, report));
	}

	void reset(Collection<MemberReport> all) {
		this.pending.clear();
		this.resetSequence = ++this.sequence;
		this.acknowledged = this.sequence;
		all.forEach(this::add);
	}

	Batch batch() {
		List<MemberReport> reports = new ArrayList<>(Math.min(this.pending.size(), MAX_BATCH));
		long last = Math.max(this.acknowledged, this.resetSequence);
		for (Numbered numbered : this.pending.values()) {
			if (reports.size() == MAX_BATCH) {
				break;
			}
			reports.add(numbered.report());
			last = numbered.sequence();
		}
		return new Batch(last, reports);
	}

	List<MemberReport> takeAll() {
		List<MemberReport> reports = this.pending.values().stream().map(Numbered::report).toList();
		this.pending.clear();
		return reports;
	}

	/**
	 * Removes what the parent holds.
	 * @param received the number of the last report that the parent holds
	 * @return {@code false} if the parent has forgotten reports and needs all of them
	 */
	boolean acknowledge(long received) {
		if (received < this.acknowledged) {
			return false;
		}
		this.acknowledged = Math.min(received, this.sequence);
		this.pending.values().removeIf((numbered) -> numbered.sequence() <= received);
		return true;
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	long acknowledged() {
		return this.acknowledged;
	}

	long resetSequence() {
		return this.resetSequence;
	}

	/**
	 * One report with its number.
	 *
	 * @param sequence the number
	 * @param report the report
	 */
	private record Numbered(long sequence, MemberReport report) {

	}

	/**
	 * The oldest unconfirmed reports.
	 *
	 * @param lastSequence the number of the last report
	 * @param reports the reports
	 */
	record Batch(long lastSequence, List<MemberReport> reports) {

	}

}
