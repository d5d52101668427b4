package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.ChangeAccepted;
import org.comfreywall.control.state.ChangeAnswer;
import org.comfreywall.control.state.ChangeCodec;
import org.comfreywall.control.state.ConfigurationChange;
import org.comfreywall.control.state.ConfigurationDelta;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.LedgerCommand;

/**
 * Operators that submit concurrent changes for the same revision, resend earlier changes
 * and read the configuration.
 */
final class ConfigurationClients {

	private static final long MAX_INTERVAL_NANOS = Duration.ofMillis(8).toNanos();

	private static final int MAX_CONCURRENT_CHANGES = 3;

	private static final int MAX_RECENT_CHANGES = 50;

	private static final int DOMAINS = 20;

	private final SimulatedCluster cluster;

	private final List<ConfigurationChange> recent = new ArrayList<>();

	private Revision latestRevision = Revision.ZERO;

	private long changesCreated;

	ConfigurationClients(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	void start() {
		this.cluster.schedule().after(this.cluster.random().nextLong(MAX_INTERVAL_NANOS), () -> {
			performRandomAction();
			start();
		});
	}

	private void performRandomAction() {
		int choice = this.cluster.random().nextInt(10);
		if (choice < 4) {
			submitConcurrently();
		}
		else if (choice < 7) {
			resend();
		}
		else {
			read();
		}
	}

	private void submitConcurrently() {
		int changes = 1 + this.cluster.random().nextInt(MAX_CONCURRENT_CHANGES);
		Revision expected = this.latestRevision;
		for (int i = 0; i < changes; i++) {
			submit(newChange(expected));
		}
	}

	private ConfigurationChange newChange(Revision expected) {
		this.changesCreated++;
		FailureDomainId domain = FailureDomainId.of("domain-" + this.cluster.random().nextInt(DOMAINS));
		FailureDomainDescriptor descriptor = new FailureDomainDescriptor(domain, "region-" + this.changesCreated);
		Configuration put = new Configuration(List.of(descriptor), List.of(), List.of(), List.of());
		return new ConfigurationChange(ChangeId.of("change-" + this.changesCreated), expected, "operator",
				"randomised run", ConfigurationDelta.put(put));
	}

	private void resend() {
		if (!this.recent.isEmpty()) {
			submit(this.recent.get(this.cluster.random().nextInt(this.recent.size())));
		}
	}

	private void submit(ConfigurationChange change) {
		if (this.recent.size() == MAX_RECENT_CHANGES) {
			this.recent.remove(0);
		}
		this.recent.add(change);
		Bytes command = new LedgerCommand(ConfigurationLedger.NAME, ChangeCodec.encode(change)).encode();
		this.cluster.randomLeader().propose(command, (answer) -> handleAnswer(change, answer));
	}

	private void handleAnswer(ConfigurationChange change, Bytes encoded) {
		ChangeAnswer answer = ChangeCodec.decodeAnswer(encoded).value().orElseThrow();
		this.cluster.checker().checkAnswer(change, answer);
		if (answer instanceof ChangeAccepted accepted && this.latestRevision.isBefore(accepted.revision())) {
			this.latestRevision = accepted.revision();
		}
	}

	private void read() {
		SimulatedInstance instance = this.cluster.randomLeader();
		Revision expected = this.latestRevision;
		if (instance.isUp()) {
			instance.read(() -> checkRead(expected, instance.state().configuration().revision()));
		}
	}

	private void checkRead(Revision expected, Revision seen) {
		this.cluster.checker().checkRead(expected, seen);
		this.latestRevision = this.latestRevision.isBefore(seen) ? seen : this.latestRevision;
	}

}
