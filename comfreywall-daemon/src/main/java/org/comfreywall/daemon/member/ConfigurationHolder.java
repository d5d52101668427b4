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
 * Holds the configuration in force in this process. Its revision never decreases.
 */
public final class ConfigurationHolder {

	private static final EventLog LOG = EventLog.of(ConfigurationHolder.class);

	private final AtomicReference<VersionedConfiguration> current = new AtomicReference<>(
			new VersionedConfiguration(Revision.ZERO, Optional.empty()));

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
		return this.current.get().revision();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty until a current one has been received
	 */
	public Optional<Configuration> configuration() {
		return this.current.get().configuration();
	}

	/**
	 * Replaces the configuration if the revision is newer than the one in force. A
	 * configuration that cannot be parsed is logged and ignored.
	 * @param revision the revision of the configuration
	 * @param toml the configuration as TOML
	 */
	public void update(Revision revision, String toml) {
		Preconditions.notNull(revision, "revision");
		Result<Configuration> parsed = ConfigurationReader.parse("revision " + revision, toml);
		parsed.error()
			.ifPresent((error) -> LOG.error("configuration-unreadable", Field.of("revision", revision),
					Field.of("error", error.message())));
		parsed.value().ifPresent((configuration) -> replaceIfNewer(revision, configuration));
	}

	/**
	 * Puts the empty configuration in force after a confirmed read found that none has
	 * been accepted yet. Has no effect if a configuration is in force.
	 */
	public void confirmEmpty() {
		this.current.compareAndSet(new VersionedConfiguration(Revision.ZERO, Optional.empty()),
				new VersionedConfiguration(Revision.ZERO, Optional.of(Configuration.EMPTY)));
	}

	private void replaceIfNewer(Revision revision, Configuration configuration) {
		VersionedConfiguration before = this.current.getAndUpdate((present) -> present.revision().isBefore(revision)
				? new VersionedConfiguration(revision, Optional.of(configuration)) : present);
		if (before.revision().isBefore(revision)) {
			LOG.info("configuration-in-force", Field.of("revision", revision));
			this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, "configuration", "revision " + revision,
					Field.of("before", before.revision())));
		}
	}

	/**
	 * The configuration in force and its revision.
	 */
	private record VersionedConfiguration(Revision revision, Optional<Configuration> configuration) {

	}

}
