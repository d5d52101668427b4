package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.InstanceId;

/**
 * A queue of the member reports that the parent has not acknowledged. It holds only the
 * latest report about each node.
 */
final class ReportQueue {

	private static final int MAX_BATCH = 256;

	private final Map<InstanceId, NumberedReport> pending = new LinkedHashMap<>();

	private long sequence;

	private long fullReportSequence;

	private long acknowledged;

	void add(MemberReport report) {
		this.pending.remove(report.node().id());
		this.pending.put(report.node().id(), new NumberedReport(++this.sequence, report));
	}

	void startFullReport(Collection<MemberReport> all) {
		this.pending.clear();
		this.fullReportSequence = ++this.sequence;
		this.acknowledged = this.sequence;
		all.forEach(this::add);
	}

	Batch nextBatch() {
		List<MemberReport> reports = new ArrayList<>(Math.min(this.pending.size(), MAX_BATCH));
		long last = Math.max(this.acknowledged, this.fullReportSequence);
		for (NumberedReport numbered : this.pending.values()) {
			if (reports.size() == MAX_BATCH) {
				break;
			}
			reports.add(numbered.report());
			last = numbered.sequence();
		}
		return new Batch(last, reports);
	}

	List<MemberReport> drain() {
		List<MemberReport> reports = this.pending.values().stream().map(NumberedReport::report).toList();
		this.pending.clear();
		return reports;
	}

	/**
	 * Removes the reports that the parent has acknowledged.
	 * @param received the sequence number of the last report that the parent has received
	 * @return {@code false} if the parent has lost reports that it had acknowledged, and
	 * therefore needs a full report
	 */
	boolean removeAcknowledged(long received) {
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

	long fullReportSequence() {
		return this.fullReportSequence;
	}

	/**
	 * A report with its sequence number.
	 *
	 * @param sequence the sequence number
	 * @param report the report
	 */
	private record NumberedReport(long sequence, MemberReport report) {

	}

	/**
	 * The oldest unacknowledged reports, at most {@value ReportQueue#MAX_BATCH}.
	 *
	 * @param lastSequence the sequence number of the last report
	 * @param reports the reports
	 */
	record Batch(long lastSequence, List<MemberReport> reports) {

	}

}
