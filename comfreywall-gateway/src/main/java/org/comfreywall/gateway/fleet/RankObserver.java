package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;

import org.comfreywall.gateway.group.DelegatedSwitch;
import org.comfreywall.gateway.group.RankReport;

/**
 * Receives reports of ranks and delegated switches; called on the event loop.
 */
public interface RankObserver {

	/**
	 * Called for each report of a rank, at the leader only.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param chosen the number of times that the rank's requests were routed to each
	 * expert since the previous report
	 */
	void onRankReport(String service, RankReport report, List<Integer> chosen);

	/**
	 * Called when the leader delegates a switch to this process.
	 * @param entrusted the switch
	 * @param patience the timeout after which this process takes the switch over from a
	 * silent leader
	 */
	void onSwitchDelegated(DelegatedSwitch entrusted, Duration patience);

	/**
	 * Called when the leader has completed or cancelled a switch.
	 * @param ended the switch
	 */
	void onSwitchEnded(DelegatedSwitch ended);

}
