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
 * Operators that race each other with equal numbers, resend changes and read.
 */
final class RunClients {

	private static final long INTERVAL_NANOS = Duration.ofMillis(8).toNanos();

	private static final int MAX_RACERS = 3;

	private static final int KEPT_CHANGES = 50;

	private static final int DOMAINS = 20;

	private final RunWorld world;

	private final List<ConfigurationChange> recent = new ArrayList<>();

	private Revision known = Revision.ZERO;

	private long submitted;

	RunClients(RunWorld world) {
		this.world = world;
	}

	void start() {
		this.world.schedule().after(this.world.random().nextLong(INTERVAL_NANOS), () -> {
			act();
			start();
		});
	}

	private void act() {
		int choice = this.world.random().nextInt(10);
		if (choice < 4) {
			race();
		}
		else if (choice < 7) {
			resend();
		}
		else {
			read();
		}
	}

	private void race() {
		int racers = 1 + this.world.random().nextInt(MAX_RACERS);
		Revision expected = this.known;
		for (int i = 0; i < racers; i++) {
			submit(newChange(expected));
		}
	}

	private ConfigurationChange newChange(Revision expected) {
		this.submitted++;
		FailureDomainId domain = FailureDomainId.of("domain-" + this.world.random().nextInt(DOMAINS));
		FailureDomainDescriptor descriptor = new FailureDomainDescriptor(domain, "region-" + this.submitted);
		Configuration put = new Configuration(List.of(descriptor), List.of(), List.of(), List.of());
		return new ConfigurationChange(ChangeId.of("change-" + this.submitted), expected, "operator", "randomised run",
				ConfigurationDelta.put(put));
	}

	private void resend() {
		if (!this.recent.isEmpty()) {
			submit(this.recent.get(this.world.random().nextInt(this.recent.size())));
		}
	}

	private void submit(ConfigurationChange change) {
		if (this.recent.size() == KEPT_CHANGES) {
			this.recent.remove(0);
		}
		this.recent.add(change);
		Bytes command = new LedgerCommand(ConfigurationLedger.NAME, ChangeCodec.encode(change)).encode();
		this.world.anyLeader().propose(command, (answer) -> answered(change, answer));
	}

	private void answered(ConfigurationChange change, Bytes encoded) {
		ChangeAnswer answer = ChangeCodec.decodeAnswer(encoded).value().orElseThrow();
		this.world.checker().answered(change, answer);
		if (answer instanceof ChangeAccepted accepted && this.known.isBefore(accepted.revision())) {
			this.known = accepted.revision();
		}
	}

	private void read() {
		RunInstance instance = this.world.anyLeader();
		Revision expected = this.known;
		if (instance.isUp()) {
			instance.read(() -> readReady(expected, instance.state().configuration().revision()));
		}
	}

	private void readReady(Revision expected, Revision seen) {
		this.world.checker().read(expected, seen);
		this.known = this.known.isBefore(seen) ? seen : this.known;
	}

}
