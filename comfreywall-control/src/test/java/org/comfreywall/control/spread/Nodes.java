package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;

/**
 * Node descriptors and command filters for tests.
 */
final class Nodes {

	static final NodeDescriptor CONTROL = node("control-0", NodeRole.CONTROL, "d0");

	private Nodes() {
	}

	static NodeDescriptor node(String id, NodeRole role, String domain) {
		return new NodeDescriptor(InstanceId.of(id), Incarnation.of(1), role, "region-1", FailureDomainId.of(domain),
				id + ":7000");
	}

	static <T> List<T> sentMessages(List<RelayTreeCommand> commands, Class<T> type) {
		return commands.stream()
			.filter(RelayTreeCommand.Send.class::isInstance)
			.map((command) -> ((RelayTreeCommand.Send) command).message())
			.filter(type::isInstance)
			.map(type::cast)
			.toList();
	}

	static <T> List<T> commands(List<RelayTreeCommand> commands, Class<T> type) {
		return commands.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
