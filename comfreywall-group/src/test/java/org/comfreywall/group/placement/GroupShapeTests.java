package org.comfreywall.group.placement;

import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.ServiceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link GroupShape}.
 */
class GroupShapeTests {

	@Test
	void limitsSlotsByTheMemoryOfTheRank() {
		GroupDescriptor group = new GroupDescriptor(GroupId.of("g"), ServiceId.of("chat"), 3, 4, 2, 4,
				new PlacementWeights(1, 1), true);
		GroupShape shape = GroupShape.of(group, new long[] { 1000, 65, 0 }, new int[3], 10);
		assertThat(shape.slots(0)).isEqualTo(4);
		assertThat(shape.slots(1)).isEqualTo(3);
		assertThat(shape.slots(2)).isZero();
	}

	@Test
	void spreadsOverFailureDomainsWhereSlotsAllow() {
		assertThat(shape(2, 0, 0, 1, 1).spread()).isEqualTo(CopySpread.FAILURE_DOMAINS);
		assertThat(shape(2, 0, 0, 0, 1).spread()).isEqualTo(CopySpread.RANKS);
		assertThat(shape(1, 0, 0, 1, 1).spread()).isEqualTo(CopySpread.NONE);
	}

	private static GroupShape shape(int slots, int... domains) {
		return GroupShape.of(1, 4, new int[] { slots, slots, slots, slots }, domains, 1);
	}

}
