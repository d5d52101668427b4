package org.comfreywall.group.placement;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.group.map.ExpertMap;
import org.comfreywall.group.map.MapVersion;
import org.comfreywall.group.map.Replica;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlacementMaps}.
 */
class PlacementMapsTests {

	private final GroupShape shape = GroupShape.of(1, 2, new int[] { 1, 2 }, new int[] { 0, 0 }, 1);

	private final Placement placement = Placement.of(new int[][] { { 0, -1, 1, 0 } },
			new double[][] { { 0.25, 0, 1, 0.75 } });

	@Test
	void convertsSharesToWeights() {
		ExpertMap map = toMap();
		assertThat(map.layers().get(0).replicasOf(0)).containsExactly(new Replica(0, 0, 2500), new Replica(1, 1, 7500));
		assertThat(map.layers().get(0).replicasOf(1)).containsExactly(new Replica(1, 0, 10_000));
	}

	@Test
	void convertsMapBackToPlacement() {
		Placement restored = PlacementMaps.fromMap(this.shape, toMap());
		for (int position = 0; position < 4; position++) {
			assertThat(restored.expert(0, position)).isEqualTo(this.placement.expert(0, position));
			assertThat(restored.share(0, position)).isEqualTo(this.placement.share(0, position));
		}
	}

	private ExpertMap toMap() {
		return PlacementMaps.toMap(this.shape, this.placement, GroupId.of("g"), MapVersion.of(1));
	}

}
