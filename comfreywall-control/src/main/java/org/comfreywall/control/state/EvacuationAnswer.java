package org.comfreywall.control.state;

import org.comfreywall.common.util.Preconditions;

/**
 * The answer of the {@link EvacuationLedger} to a command or a query.
 *
 * @param orders the current orders, after the command if there was one
 * @param outdated whether the command was refused because another one had taken effect
 * since its known version
 */
public record EvacuationAnswer(EvacuationOrders orders, boolean outdated) {

	public EvacuationAnswer {
		Preconditions.notNull(orders, "orders");
	}

	/**
	 * Returns whether the orders are as the command wanted them.
	 * @return {@code false} if the command was refused
	 */
	public boolean isAccepted() {
		return !this.outdated;
	}

}
