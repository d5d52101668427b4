package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the commands that a node issues while it handles one event.
 */
final class Outbox {

	private List<SpreadCommand> commands = new ArrayList<>();

	void send(Peer to, SpreadMessage message) {
		this.commands.add(new SpreadCommand.Send(to, message));
	}

	void add(SpreadCommand command) {
		this.commands.add(command);
	}

	List<SpreadCommand> drain() {
		List<SpreadCommand> drained = this.commands;
		this.commands = new ArrayList<>(Math.min(drained.size(), 16));
		return drained;
	}

}
