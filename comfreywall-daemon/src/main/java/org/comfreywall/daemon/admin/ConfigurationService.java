package org.comfreywall.daemon.admin;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.ChangeRecord;
import org.comfreywall.control.generated.ConfigurationQueryRecord;
import org.comfreywall.control.generated.ConfigurationReplyRecord;
import org.comfreywall.control.generated.HistoryRecord;
import org.comfreywall.control.state.ChangeAnswer;
import org.comfreywall.control.state.ChangeCodec;
import org.comfreywall.control.state.ConfigurationChange;
import org.comfreywall.control.state.ConfigurationCodec;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.transport.control.ControlClient;

/**
 * Reads and changes the replicated configuration.
 */
final class ConfigurationService {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final ControlClient control;

	ConfigurationService(ControlClient control) {
		this.control = Preconditions.notNull(control, "control");
	}

	CompletableFuture<Result<VersionedConfiguration>> currentConfiguration() {
		ConfigurationQueryRecord query = ConfigurationQueryRecord.newBuilder().setPresent(true).build();
		return query(query)
			.thenApply((result) -> result.map((reply) -> new VersionedConfiguration(Revision.of(reply.getRevision()),
					ConfigurationCodec.fromRecord(reply.getConfiguration()))));
	}

	CompletableFuture<Result<List<HistoryRecord>>> history(Revision after) {
		ConfigurationQueryRecord query = ConfigurationQueryRecord.newBuilder().setHistoryAfter(after.value()).build();
		return query(query).thenApply((result) -> result.map((reply) -> reply.getHistory().getChangesList()));
	}

	CompletableFuture<Result<ChangeAnswer>> apply(ConfigurationChange change) {
		Bytes command = new LedgerCommand(ConfigurationLedger.NAME, ChangeCodec.encode(change)).encode();
		return this.control.propose(command, TIMEOUT).thenApply((result) -> result.flatMap(ChangeCodec::decodeAnswer));
	}

	CompletableFuture<Result<ChangeAnswer>> dryRun(ConfigurationChange change) {
		try {
			ChangeRecord encoded = ChangeRecord.parseFrom(ChangeCodec.encode(change).toArray());
			return query(ConfigurationQueryRecord.newBuilder().setDryRun(encoded).build()).thenApply((result) -> result
				.flatMap((reply) -> ChangeCodec.decodeAnswer(Bytes.of(reply.getAnswer().toByteArray()))));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A change that was just encoded cannot be decoded", ex);
		}
	}

	private CompletableFuture<Result<ConfigurationReplyRecord>> query(ConfigurationQueryRecord query) {
		Bytes encoded = new LedgerCommand(ConfigurationLedger.NAME, Bytes.of(query.toByteArray())).encode();
		return this.control.query(encoded, TIMEOUT).thenApply((result) -> result.flatMap(ConfigurationService::decode));
	}

	private static Result<ConfigurationReplyRecord> decode(Bytes answer) {
		try {
			return Result.success(ConfigurationReplyRecord.parseFrom(answer.toArray()));
		}
		catch (InvalidProtocolBufferException ex) {
			return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.CONFIGURE,
					"the control instance's answer cannot be decoded"));
		}
	}

	/**
	 * A configuration and its revision.
	 *
	 * @param revision the revision
	 * @param configuration the configuration
	 */
	record VersionedConfiguration(Revision revision, Configuration configuration) {

	}

}
