package org.comfreywall.bench.mapswitch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.mapswitch.AgentCommand;
import org.comfreywall.group.mapswitch.AgentEvent;
import org.comfreywall.group.mapswitch.EngineConnected;
import org.comfreywall.group.mapswitch.EngineLoaded;
import org.comfreywall.group.mapswitch.GrantStep;
import org.comfreywall.group.mapswitch.LoadMap;
import org.comfreywall.group.mapswitch.StepReached;

/**
 * A stand-in engine with memory for the weights in use and one further set; it obeys
 * orders in sequence and asks for each step up to a few ahead.
 */
final class FakeEngine {

	private final EngineEnvironment environment;

	private final int ahead;

	private final boolean checksFencing;

	private final Deque<AgentCommand> orders = new ArrayDeque<>();

	private Consumer<AgentEvent> agent = (event) -> {
	};

	private FencingNumber accepted = FencingNumber.ZERO;

	private Optional<MapRef> active = Optional.empty();

	private Optional<MapRef> staged = Optional.empty();

	private Optional<MapRef> lastGranted = Optional.empty();

	private long loadsOrdered;

	private long loadsStarted;

	private long loadsDone;

	private long granted;

	private long started;

	private boolean asking;

	private long readySince;

	FakeEngine(EngineEnvironment environment, int ahead, boolean checksFencing) {
		this.environment = environment;
		this.ahead = ahead;
		this.checksFencing = checksFencing;
		this.granted = environment.completed();
		this.started = environment.completed();
		this.readySince = environment.now();
	}

	long started() {
		return this.started;
	}

	void connect(Consumer<AgentEvent> newAgent) {
		this.agent = newAgent;
		this.asking = false;
		boolean loading = this.loadsOrdered != this.loadsDone;
		Optional<MapRef> inUse = this.lastGranted.or(() -> this.active);
		Optional<MapRef> beside = loading ? Optional.empty() : this.staged.filter((map) -> !inUse.equals(this.staged));
		long last = this.lastGranted.isPresent() ? this.granted : -1;
		this.agent.accept(new EngineConnected(last, inUse, beside));
		ask();
	}

	void disconnect() {
		this.agent = (event) -> {
		};
	}

	void obey(AgentCommand order) {
		FencingNumber number = (order instanceof GrantStep grant) ? grant.number() : ((LoadMap) order).number();
		if (this.checksFencing && number.isBefore(this.accepted)) {
			return;
		}
		this.accepted = number;
		if (order instanceof GrantStep grant) {
			this.asking = false;
			this.granted = Math.max(this.granted, grant.step());
			this.lastGranted = Optional.of(grant.map());
		}
		else {
			this.loadsOrdered++;
		}
		this.orders.add(order);
		proceed();
	}

	void stepCompleted() {
		this.readySince = this.environment.now();
		proceed();
		ask();
	}

	private void proceed() {
		while (!this.orders.isEmpty()) {
			AgentCommand order = this.orders.peek();
			if (order instanceof GrantStep grant && grant.step() > this.environment.completed() + 1) {
				return;
			}
			this.orders.remove();
			if (order instanceof GrantStep grant) {
				run(grant);
			}
			else {
				load(((LoadMap) order).map());
			}
		}
	}

	private void run(GrantStep grant) {
		if (grant.step() <= this.started) {
			return;
		}
		if (!this.active.equals(Optional.of(grant.map()))) {
			this.active = this.staged;
			this.staged = Optional.empty();
		}
		this.started = grant.step();
		this.environment.started(grant.step(), this.active, this.environment.now() - this.readySince);
		ask();
	}

	private void load(MapRef map) {
		this.loadsStarted++;
		long load = this.loadsStarted;
		this.staged = Optional.empty();
		this.environment.load(() -> {
			if (load == this.loadsStarted) {
				this.loadsDone = load;
				this.staged = Optional.of(map);
				this.agent.accept(new EngineLoaded(map));
			}
		});
	}

	private void ask() {
		long completed = this.environment.completed();
		long limit = (this.ahead == 0) ? completed + 1 : Math.max(this.started, completed) + this.ahead;
		if (!this.asking && this.granted + 1 <= limit) {
			this.asking = true;
			this.agent.accept(new StepReached(this.granted + 1));
		}
	}

}
