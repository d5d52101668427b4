package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.comfreywall.gateway.group.DelegatedSwitch;
import org.comfreywall.gateway.group.RankReport;

/**
 * Records the switches that are delegated to a process and have not ended.
 */
final class SwitchRecorder implements RankObserver {

	private final Set<DelegatedSwitch> active = ConcurrentHashMap.newKeySet();

	boolean contains(DelegatedSwitch delegatedSwitch) {
		return this.active.contains(delegatedSwitch);
	}

	@Override
	public void onRankReport(String service, RankReport report, List<Integer> choiceCounts) {
		// Reports are not recorded.
	}

	@Override
	public void onSwitchDelegated(DelegatedSwitch delegatedSwitch, Duration timeout) {
		this.active.add(delegatedSwitch);
	}

	@Override
	public void onSwitchEnded(DelegatedSwitch ended) {
		this.active.remove(ended);
	}

}
