package org.comfreywall.gateway.group;

/**
 * An order to the engine of one rank. Every order contains the group's epoch, so that an
 * engine refuses an order that arrives after the group was formed again.
 */
public sealed interface EngineOrder permits PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep {

	/**
	 * Returns the group's epoch for which the order was issued.
	 * @return the epoch
	 */
	long epoch();

}
