package org.comfreywall.gateway.group;

import java.util.concurrent.CompletableFuture;

/**
 * Sends switches to deputy processes before their pass is held, so that a deputy can
 * complete a switch if the coordinator fails.
 */
public interface DeputyPort {

	/**
	 * Sends a switch to the deputies.
	 * @param delegatedSwitch the switch
	 * @return completes when one deputy has confirmed that it stored the switch, or when
	 * none can be reached
	 */
	CompletableFuture<Void> delegate(DelegatedSwitch delegatedSwitch);

	/**
	 * Notifies the deputies that the switch is complete or cancelled, so that they drop
	 * it.
	 * @param delegatedSwitch the switch
	 */
	void notifyEnded(DelegatedSwitch delegatedSwitch);

}
