package org.comfreywall.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.ConfigurationQueryRecord;
import org.comfreywall.control.generated.ConfigurationReplyRecord;
import org.comfreywall.control.generated.HistoryListRecord;

/**
 * Answers encoded queries to the {@link ConfigurationLedger}.
 */
final class ConfigurationQueries {

	private ConfigurationQueries() {
	}

	static Bytes answer(ConfigurationLedger ledger, Bytes query) {
		ConfigurationReplyRecord.Builder reply = ConfigurationReplyRecord.newBuilder()
			.setRevision(ledger.revision().value());
		try {
			fill(reply, ledger, ConfigurationQueryRecord.parseFrom(query.toArray()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			ChangeAnswer refused = new ChangeRefused(ErrorCode.MALFORMED,
					"the configuration query cannot be decoded: " + ex.getMessage());
			reply.setAnswer(ChangeCodec.toRecord(refused));
		}
		return Bytes.of(reply.build().toByteArray());
	}

	private static void fill(ConfigurationReplyRecord.Builder reply, ConfigurationLedger ledger,
			ConfigurationQueryRecord query) {
		switch (query.getQueryCase()) {
			case PRESENT -> reply.setConfiguration(ConfigurationCodec.toRecord(ledger.configuration()));
			case DRY_RUN ->
				reply.setAnswer(ChangeCodec.toRecord(ledger.dryRun(ChangeCodec.fromRecord(query.getDryRun()))));
			case HISTORY_AFTER -> reply.setHistory(history(ledger, Revision.of(query.getHistoryAfter())));
			case QUERY_NOT_SET -> throw new IllegalArgumentException("the query is empty");
		}
	}

	private static HistoryListRecord history(ConfigurationLedger ledger, Revision after) {
		HistoryListRecord.Builder history = HistoryListRecord.newBuilder();
		ledger.historyAfter(after).forEach((change) -> history.addChanges(ChangeCodec.toRecord(change)));
		return history.build();
	}

}
