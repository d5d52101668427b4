package org.comfreywall.gateway.fleet;

import java.util.List;

import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.transport.generated.ExpertList;
import org.comfreywall.transport.generated.RankNotice;

/**
 * Encodes reports of ranks as {@link RankNotice} messages.
 * <p>
 * Writes the fields itself: the generated classes, with the descriptors of all messages
 * between processes, would be a large part of what the small process beside a rank loads.
 */
final class RankNoticeEncoder {

	private static final long NO_STEP = -1;

	private static final int MAX_VARINT_BYTES = 5;

	private RankNoticeEncoder() {
	}

	/**
	 * Encodes a report.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param choiceCounts the counts since the previous report, set by set; may be empty
	 * @return the encoded message
	 */
	static byte[] encode(String service, RankReport report, int[] choiceCounts) {
		return MessageBytes.of(MAX_VARINT_BYTES * choiceCounts.length + 256, (out) -> {
			out.writeString(RankNotice.SERVER_FIELD_NUMBER, report.server());
			out.writeString(RankNotice.GROUP_FIELD_NUMBER, report.group());
			out.writeInt64(RankNotice.EPOCH_FIELD_NUMBER, report.epoch());
			out.writeUInt32(RankNotice.RANK_FIELD_NUMBER, report.rank());
			out.writeUInt32(RankNotice.SIZE_FIELD_NUMBER, report.size());
			out.writeBool(RankNotice.OPEN_FIELD_NUMBER, report.open());
			out.writeInt64(RankNotice.STEP_FIELD_NUMBER, report.step());
			out.writeInt64(RankNotice.MAP_VERSION_FIELD_NUMBER, report.mapVersion());
			out.writeInt64(RankNotice.PREPARED_VERSION_FIELD_NUMBER, report.preparedVersion());
			out.writeInt64(RankNotice.ARMED_VERSION_FIELD_NUMBER, report.armedVersion());
			out.writeInt64(RankNotice.HELD_STEP_FIELD_NUMBER, report.heldStep().orElse(NO_STEP));
			if (choiceCounts.length > 0) {
				out.writeByteArray(RankNotice.CHOSEN_FIELD_NUMBER, varints(choiceCounts));
			}
			for (List<Integer> set : report.layout()) {
				out.writeByteArray(RankNotice.LAYOUT_FIELD_NUMBER, expertList(set));
			}
			out.writeDouble(RankNotice.PACE_FIELD_NUMBER, report.slowdown());
			out.writeString(RankNotice.SERVICE_FIELD_NUMBER, service);
		});
	}

	private static byte[] expertList(List<Integer> experts) {
		int[] numbers = experts.stream().mapToInt(Integer::intValue).toArray();
		return MessageBytes.of(32, (out) -> out.writeByteArray(ExpertList.EXPERTS_FIELD_NUMBER, varints(numbers)));
	}

	// Repeated numbers are packed: a message has them as one field.
	private static byte[] varints(int[] numbers) {
		return MessageBytes.of(numbers.length + 16, (out) -> {
			for (int number : numbers) {
				out.writeUInt32NoTag(number);
			}
		});
	}

}
