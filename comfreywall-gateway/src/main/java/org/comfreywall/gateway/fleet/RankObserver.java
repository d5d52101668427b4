package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;

import org.comfreywall.gateway.group.DelegatedSwitch;
import org.comfreywall.gateway.group.RankReport;

/**
 * Receives the reports of ranks and the delegated switches; called on the event loop.
 */
public interface RankObserver {

	/**
	 * Called for each report of a rank, at the leader only.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param choiceCounts the number of times that the rank's requests were routed to
	 * each expert since its previous counts, set by set; empty if unknown
	 */
	void onRankReport(String service, RankReport report, List<Integer> choiceCounts);

	/**
	 * Called when the leader delegates a switch to this process.
	 * @param delegatedSwitch the switch
	 * @param timeout the time after which this process takes the switch over if the
	 * leader has not ended it
	 */
	void onSwitchDelegated(DelegatedSwitch delegatedSwitch, Duration timeout);

	/**
	 * Called when the leader has completed or cancelled a switch.
	 * @param ended the switch
	 */
	void onSwitchEnded(DelegatedSwitch ended);

}
