package org.comfreywall.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.ConfigurationLedgerRecord;

/**
 * The configuration with its history.
 * <p>
 * Changes use optimistic concurrency control: a change is accepted only if it expects the
 * current revision, so at most one of several changes that expect the same revision is
 * accepted. Answers are cached by change id, and a resend gets the cached answer. The
 * newest {@value #MAX_HISTORY} changes and {@value #MAX_ANSWERS} answers are kept; a
 * resend whose answer was evicted gets a conflict and is not applied again.
 */
public final class ConfigurationLedger implements Ledger {

	/** The name of the ledger. */
	public static final String NAME = "configuration";

	/** Maximum number of changes in the history. */
	public static final int MAX_HISTORY = 2_000;

	/** Maximum number of answers cached for resends. */
	public static final int MAX_ANSWERS = 20_000;

	private final ConfigurationListener listener;

	private final NavigableMap<Long, AcceptedChange> history = new TreeMap<>();

	/** In insertion order, so that the oldest answer is evicted first. */
	private final Map<ChangeId, CachedAnswer> answers = new LinkedHashMap<>();

	private Revision revision = Revision.ZERO;

	private Configuration configuration = Configuration.EMPTY;

	/**
	 * Creates an empty configuration.
	 * @param listener called after each applied change
	 */
	public ConfigurationLedger(ConfigurationListener listener) {
		this.listener = Preconditions.notNull(listener, "listener");
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Returns the current revision.
	 * @return the revision
	 */
	public Revision revision() {
		return this.revision;
	}

	/**
	 * Returns the configuration of the current revision.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the changes after a revision, as far as the history still holds them.
	 * @param after the revision
	 * @return the changes, oldest first
	 */
	public List<AcceptedChange> historyAfter(Revision after) {
		return List.copyOf(this.history.tailMap(after.value(), false).values());
	}

	/**
	 * Applies a change, or returns the cached answer if the change is a resend.
	 * @param time the log time
	 * @param change the change
	 * @return the answer
	 */
	public ChangeAnswer apply(LogTime time, ConfigurationChange change) {
		Preconditions.notNull(time, "time");
		String digest = ChangeCodec.encode(change).sha256();
		CachedAnswer cached = this.answers.get(change.id());
		if (cached != null) {
			return cached.digest().equals(digest) ? cached.answer() : reusedChangeId(change);
		}
		ChangeAnswer answer = evaluate(change);
		if (answer instanceof ChangeAccepted accepted) {
			applyAccepted(time, change, accepted.revision());
		}
		cacheAnswer(change.id(), new CachedAnswer(digest, answer));
		return answer;
	}

	/**
	 * Returns the answer that a change would get now, without applying it.
	 * @param change the change
	 * @return the answer
	 */
	public ChangeAnswer dryRun(ConfigurationChange change) {
		Preconditions.notNull(change, "change");
		CachedAnswer cached = this.answers.get(change.id());
		if (cached == null) {
			return evaluate(change);
		}
		boolean resend = cached.digest().equals(ChangeCodec.encode(change).sha256());
		return resend ? cached.answer() : reusedChangeId(change);
	}

	private static ChangeAnswer reusedChangeId(ConfigurationChange change) {
		return new ChangeRefused(ErrorCode.INVALID_INPUT,
				"change " + change.id() + " was submitted before with different content; use another change id");
	}

	private ChangeAnswer evaluate(ConfigurationChange change) {
		if (!change.expected().equals(this.revision)) {
			return new ChangeConflict(this.revision, findWinner(change.expected()));
		}
		if (change.content() instanceof Rollback rollback && !canRestore(rollback.to())) {
			return new ChangeRefused(ErrorCode.NOT_FOUND, "revision " + rollback.to()
					+ " is not in the history; the oldest that can be restored is " + oldestRestorable());
		}
		return ConfigurationValidator.findProblem(resultOf(change.content()))
			.<ChangeAnswer>map((problem) -> new ChangeRefused(ErrorCode.INVALID_INPUT, problem))
			.orElseGet(() -> new ChangeAccepted(this.revision.next()));
	}

	private Optional<ChangeWinner> findWinner(Revision expected) {
		return Optional.ofNullable(this.history.get(expected.next().value()))
			.map((winner) -> new ChangeWinner(winner.change(), winner.author()));
	}

	private boolean canRestore(Revision to) {
		return to.value() >= oldestRestorable() && to.value() <= this.revision.value();
	}

	private long oldestRestorable() {
		return this.history.isEmpty() ? this.revision.value() : this.history.firstKey() - 1;
	}

	private Configuration resultOf(ChangeContent content) {
		if (content instanceof ConfigurationDelta delta) {
			return delta.applyTo(this.configuration);
		}
		Configuration restored = this.configuration;
		Revision to = ((Rollback) content).to();
		for (AcceptedChange reverted : this.history.tailMap(to.value(), false).descendingMap().values()) {
			restored = reverted.backward().applyTo(restored);
		}
		return restored;
	}

	private void applyAccepted(LogTime time, ConfigurationChange change, Revision next) {
		Configuration after = resultOf(change.content());
		ConfigurationDelta forward = ConfigurationDelta.between(this.configuration, after);
		ConfigurationDelta backward = ConfigurationDelta.between(after, this.configuration);
		AcceptedChange accepted = new AcceptedChange(next, change.id(), change.author(), change.reason(), time, forward,
				backward);
		this.history.put(next.value(), accepted);
		if (this.history.size() > MAX_HISTORY) {
			this.history.pollFirstEntry();
		}
		this.revision = next;
		this.configuration = after;
		this.listener.onChange(accepted, after);
	}

	private void cacheAnswer(ChangeId id, CachedAnswer answer) {
		this.answers.put(id, answer);
		if (this.answers.size() > MAX_ANSWERS) {
			this.answers.remove(this.answers.keySet().iterator().next());
		}
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		Result<ConfigurationChange> change = ChangeCodec.decode(command);
		ChangeAnswer answer = change.value()
			.map((decoded) -> apply(time, decoded))
			.orElseGet(() -> malformed(change.error().orElseThrow()));
		return ChangeCodec.encodeAnswer(answer);
	}

	private static ChangeAnswer malformed(OperationError error) {
		return new ChangeRefused(error.code(), error.message());
	}

	@Override
	public Bytes query(Bytes query) {
		return ConfigurationQueries.answer(this, query);
	}

	@Override
	public Bytes snapshot() {
		ConfigurationLedgerRecord.Builder builder = ConfigurationLedgerRecord.newBuilder()
			.setRevision(this.revision.value())
			.setConfiguration(ConfigurationCodec.toRecord(this.configuration));
		this.history.values().forEach((change) -> builder.addHistory(ChangeCodec.toRecord(change)));
		this.answers.forEach((id, answer) -> builder.addAnswers(ChangeCodec.toRecord(id, answer)));
		return Bytes.of(builder.build().toByteArray());
	}

	@Override
	public void restore(Bytes snapshot) {
		ConfigurationLedgerRecord restored = ChangeCodec.parseLedger(snapshot);
		this.revision = Revision.of(restored.getRevision());
		this.configuration = ConfigurationCodec.fromRecord(restored.getConfiguration());
		this.history.clear();
		this.answers.clear();
		restored.getHistoryList()
			.stream()
			.map(ChangeCodec::fromRecord)
			.forEach((change) -> this.history.put(change.revision().value(), change));
		restored.getAnswersList()
			.forEach((answer) -> this.answers.put(ChangeId.of(answer.getChangeId()), ChangeCodec.fromRecord(answer)));
		Optional.ofNullable(this.history.lastEntry())
			.ifPresent((newest) -> this.listener.onChange(newest.getValue(), this.configuration));
	}

}
