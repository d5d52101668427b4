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
 * A simulated engine with memory for the active weights and one staged set. It executes
 * commands in the order in which they arrive and requests permission for steps in
 * advance, up to a limit.
 */
final class FakeEngine {

	private final EngineEnvironment environment;

	private final int stepsAhead;

	private final boolean checksFencing;

	private final Deque<AgentCommand> pendingCommands = new ArrayDeque<>();

	private Consumer<AgentEvent> agent = (event) -> {
	};

	private FencingNumber lastFencingNumber = FencingNumber.ZERO;

	private Optional<MapRef> activeMap = Optional.empty();

	private Optional<MapRef> stagedMap = Optional.empty();

	private Optional<MapRef> grantedMap = Optional.empty();

	private long loadsOrdered;

	private long loadsStarted;

	private long loadsCompleted;

	private long grantedStep;

	private long startedStep;

	private boolean requestPending;

	private long readySince;

	FakeEngine(EngineEnvironment environment, int stepsAhead, boolean checksFencing) {
		this.environment = environment;
		this.stepsAhead = stepsAhead;
		this.checksFencing = checksFencing;
		this.grantedStep = environment.completedStep();
		this.startedStep = environment.completedStep();
		this.readySince = environment.now();
	}

	long startedStep() {
		return this.startedStep;
	}

	void connect(Consumer<AgentEvent> newAgent) {
		this.agent = newAgent;
		this.requestPending = false;
		boolean loading = this.loadsOrdered != this.loadsCompleted;
		Optional<MapRef> currentMap = this.grantedMap.or(() -> this.activeMap);
		Optional<MapRef> otherMap = loading ? Optional.empty()
				: this.stagedMap.filter((map) -> !currentMap.equals(this.stagedMap));
		long lastStep = this.grantedMap.isPresent() ? this.grantedStep : -1;
		this.agent.accept(new EngineConnected(lastStep, currentMap, otherMap));
		requestNextStep();
	}

	void disconnect() {
		this.agent = (event) -> {
		};
	}

	void execute(AgentCommand command) {
		FencingNumber number = (command instanceof GrantStep grant) ? grant.number() : ((LoadMap) command).number();
		if (this.checksFencing && number.isBefore(this.lastFencingNumber)) {
			return;
		}
		this.lastFencingNumber = number;
		if (command instanceof GrantStep grant) {
			this.requestPending = false;
			this.grantedStep = Math.max(this.grantedStep, grant.step());
			this.grantedMap = Optional.of(grant.map());
		}
		else {
			this.loadsOrdered++;
		}
		this.pendingCommands.add(command);
		processCommands();
	}

	void onStepCompleted() {
		this.readySince = this.environment.now();
		processCommands();
		requestNextStep();
	}

	private void processCommands() {
		while (!this.pendingCommands.isEmpty()) {
			AgentCommand command = this.pendingCommands.peek();
			if (command instanceof GrantStep grant && grant.step() > this.environment.completedStep() + 1) {
				return;
			}
			this.pendingCommands.remove();
			if (command instanceof GrantStep grant) {
				startGrantedStep(grant);
			}
			else {
				startLoad(((LoadMap) command).map());
			}
		}
	}

	private void startGrantedStep(GrantStep grant) {
		if (grant.step() <= this.startedStep) {
			return;
		}
		if (!this.activeMap.equals(Optional.of(grant.map()))) {
			this.activeMap = this.stagedMap;
			this.stagedMap = Optional.empty();
		}
		this.startedStep = grant.step();
		this.environment.onStepStarted(grant.step(), this.activeMap, this.environment.now() - this.readySince);
		requestNextStep();
	}

	private void startLoad(MapRef map) {
		this.loadsStarted++;
		long number = this.loadsStarted;
		this.stagedMap = Optional.empty();
		this.environment.loadMap(() -> {
			if (number == this.loadsStarted) {
				this.loadsCompleted = number;
				this.stagedMap = Optional.of(map);
				this.agent.accept(new EngineLoaded(map));
			}
		});
	}

	private void requestNextStep() {
		long completed = this.environment.completedStep();
		long limit = (this.stepsAhead == 0) ? completed + 1 : Math.max(this.startedStep, completed) + this.stepsAhead;
		if (!this.requestPending && this.grantedStep + 1 <= limit) {
			this.requestPending = true;
			this.agent.accept(new StepReached(this.grantedStep + 1));
		}
	}

}
