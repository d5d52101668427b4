package org.comfreywall.group.report;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.group.life.EngineActivity;
import org.comfreywall.group.life.GroupState;
import org.comfreywall.group.life.RankHealth;
import org.comfreywall.group.life.RankView;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.map.MapVersion;
import org.comfreywall.group.mapswitch.MapBoundary;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.SwitchId;
import org.comfreywall.group.mapswitch.SwitchPhase;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupStatus} and {@link SkewMeter}.
 */
class GroupStatusTests {

	private final SkewMeter meter = new SkewMeter(2);

	@Test
	void recordsSlowestOverMeanOnceAllRanksReported() {
		this.meter.record(0, 1, 100);
		assertThat(this.meter.snapshot().getTotalCount()).isZero();

		this.meter.record(1, 1, 300);

		assertThat(this.meter.snapshot().getMaxValue()).isEqualTo(1500);
	}

	@Test
	void dropsOldestIncompleteStep() {
		for (int step = 0; step <= SkewMeter.MAX_INCOMPLETE_STEPS; step++) {
			this.meter.record(0, step, 100);
		}
		this.meter.record(1, 0, 100);

		assertThat(this.meter.snapshot().getTotalCount()).isZero();
	}

	@Test
	void showsRanksMapAndSkew() {
		this.meter.record(0, 7, 100);
		this.meter.record(1, 7, 150);

		assertThat(status().toText().lines()).containsExactly("group chat  reforming  ranks 2  spares 3",
				"map 4-abcdef from step 40  switch arming", "",
				"  rank  server                   incarnation  health     activity                step",
				"     0  kochi-1                            5  healthy    waiting-for-peers         41",
				"     1  -                                  -  failed     loading                    -", "",
				"step-time skew (slowest over mean)  steps=1 mean=1.200 p50=1.200 p95=1.200 p99=1.200 max=1.200",
				"  1.00-1.05           0", "  1.05-1.10           0", "  1.10-1.20           0",
				"  1.20-1.30           1 ########################################", "  1.30-1.50           0",
				"  1.50-2.00           0", "  2.00-3.00           0", "  3.00-               0");
	}

	private GroupStatus status() {
		MapBoundary map = new MapBoundary(40, new MapRef(MapVersion.of(4), "abcdef"), SwitchId.ZERO);
		Member member = new Member(BackendServerId.of("kochi-1"), Incarnation.of(5));
		RankView running = new RankView(0, Optional.of(member), RankHealth.HEALTHY, EngineActivity.WAITING_FOR_PEERS,
				41);
		RankView failed = new RankView(1, Optional.empty(), RankHealth.FAILED, EngineActivity.LOADING, -1);
		return new GroupStatus(GroupId.of("chat"), GroupState.REFORMING, Optional.of(map), SwitchPhase.ARMING,
				List.of(running, failed), 3, this.meter.snapshot());
	}

}
