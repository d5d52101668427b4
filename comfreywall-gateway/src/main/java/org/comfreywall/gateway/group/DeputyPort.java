package org.comfreywall.gateway.group;

import java.util.concurrent.CompletableFuture;

/**
 * Sends switches to deputy processes before their pass is held, so that a deputy can
 * complete a switch if the coordinator fails.
 */
public interface DeputyPort {

	/**
	 * Sends a switch to the deputies.
	 * @param entrusted the switch
	 * @return completes when one deputy has confirmed it, or none can be reached
	 */
	CompletableFuture<Void> entrust(EntrustedSwitch entrusted);

	/**
	 * Notifies the deputies that the switch is complete or cancelled, so that they drop
	 * it.
	 * @param entrusted the switch
	 */
	void ended(EntrustedSwitch entrusted);

}
