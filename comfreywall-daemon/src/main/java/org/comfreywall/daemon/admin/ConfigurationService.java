package org.comfreywall.daemon.admin;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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

/**
 * Reads and changes the replicated configuration.
 */
final class ConfigurationService {

	private final LedgerCalls ledger;

	ConfigurationService(LedgerCalls ledger) {
		this.ledger = Preconditions.notNull(ledger, "ledger");
	}

	CompletableFuture<Result<VersionedConfiguration>> currentConfiguration() {
		ConfigurationQueryRecord query = ConfigurationQueryRecord.newBuilder().setPresent(true).build();
		return query(query)
			.thenApply((result) -> result.map((reply) -> new VersionedConfiguration(Revision.of(reply.getRevision()),
					ConfigurationCodec.fromRecord(reply.getConfiguration()))));
	}

	/**
	 * Returns the configuration at a revision, as far as the history goes back.
	 * @param revision the revision
	 * @return completes with the configuration, with the present one if the revision is
	 * not known or too old, or with an error
	 */
	CompletableFuture<Result<Configuration>> configurationAt(Revision revision) {
		return currentConfiguration().thenCompose((current) -> {
			Optional<VersionedConfiguration> newer = current.value()
				.filter((present) -> present.revision().value() > revision.value());
			if (newer.isEmpty()) {
				return CompletableFuture.completedFuture(current.map(VersionedConfiguration::configuration));
			}
			return history(revision)
				.thenApply((changes) -> changes.map((found) -> revert(newer.get(), revision, found)));
		});
	}

	private static Configuration revert(VersionedConfiguration present, Revision to, List<HistoryRecord> changes) {
		List<HistoryRecord> applied = changes.stream()
			.filter((change) -> change.getRevision() <= present.revision().value())
			.sorted(Comparator.comparingLong(HistoryRecord::getRevision).reversed())
			.toList();
		if (applied.size() < present.revision().value() - to.value()) {
			return present.configuration();
		}
		Configuration reverted = present.configuration();
		for (HistoryRecord change : applied) {
			reverted = ConfigurationCodec.fromRecord(change.getBackward()).applyTo(reverted);
		}
		return reverted;
	}

	CompletableFuture<Result<List<HistoryRecord>>> history(Revision after) {
		ConfigurationQueryRecord query = ConfigurationQueryRecord.newBuilder().setHistoryAfter(after.value()).build();
		return query(query).thenApply((result) -> result.map((reply) -> reply.getHistory().getChangesList()));
	}

	CompletableFuture<Result<ChangeAnswer>> apply(ConfigurationChange change) {
		Bytes command = new LedgerCommand(ConfigurationLedger.NAME, ChangeCodec.encode(change)).encode();
		return this.ledger.propose().apply(command).thenApply((result) -> result.flatMap(ChangeCodec::decodeAnswer));
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
		return this.ledger.query().apply(encoded).thenApply((result) -> result.flatMap(ConfigurationService::decode));
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
