package org.comfreywall.daemon.member;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Preconditions;

/**
 * Holds the configuration in force at this process; it never goes back to an older
 * revision.
 */
public final class ConfigurationHolder {

	private static final EventLog LOG = EventLog.of(ConfigurationHolder.class);

	private final AtomicReference<Held> held = new AtomicReference<>(new Held(Revision.ZERO, Optional.empty()));

	private final DecisionListener decisions;

	/**
	 * Creates a holder without a configuration.
	 * @param decisions receives a record of each change
	 */
	public ConfigurationHolder(DecisionListener decisions) {
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	/**
	 * Returns the revision in force.
	 * @return the revision, zero if there is none
	 */
	public Revision revision() {
		return this.held.get().revision();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if none is known to be current
	 */
	public Optional<Configuration> configuration() {
		return this.held.get().configuration();
	}

	/**
	 * Takes a configuration unless the present one is as new.
	 * @param revision its revision
	 * @param toml the configuration as TOML
	 */
	public void offer(Revision revision, String toml) {
		Preconditions.notNull(revision, "revision");
		Result<Configuration> parsed = ConfigurationReader.parse("revision " + revision, toml);
		parsed.error()
			.ifPresent((error) -> LOG.error("configuration-unreadable", Field.of("revision", revision),
					Field.of("error", error.message())));
		parsed.value().ifPresent((configuration) -> put(revision, configuration));
	}

	/**
	 * Takes note that a quorum has accepted no configuration yet.
	 */
	public void offerEmpty() {
		this.held.compareAndSet(new Held(Revision.ZERO, Optional.empty()),
				new Held(Revision.ZERO, Optional.of(Configuration.EMPTY)));
	}

	private void put(Revision revision, Configuration configuration) {
		Held before = this.held.getAndUpdate((present) -> present.revision().isBefore(revision)
				? new Held(revision, Optional.of(configuration)) : present);
		if (before.revision().isBefore(revision)) {
			LOG.info("configuration-in-force", Field.of("revision", revision));
			this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, "configuration", "revision " + revision,
					Field.of("before", before.revision())));
		}
	}

	/**
	 * A revision and its configuration.
	 */
	private record Held(Revision revision, Optional<Configuration> configuration) {

	}

}
