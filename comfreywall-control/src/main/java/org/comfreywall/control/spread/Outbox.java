package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the commands that a node issues while it handles one event.
 */
final class Outbox {

	private List<RelayTreeCommand> commands = new ArrayList<>();

	void send(Peer to, RelayTreeMessage message) {
		this.commands.add(new RelayTreeCommand.Send(to, message));
	}

	void add(RelayTreeCommand command) {
		this.commands.add(command);
	}

	List<RelayTreeCommand> drain() {
		List<RelayTreeCommand> drained = this.commands;
		this.commands = new ArrayList<>(Math.min(drained.size(), 16));
		return drained;
	}

}
