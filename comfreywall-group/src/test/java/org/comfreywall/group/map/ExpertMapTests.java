package org.comfreywall.group.map;

import java.util.List;

import org.comfreywall.common.id.GroupId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ExpertMap}.
 */
class ExpertMapTests {

	@Test
	void returnsSameReferenceForEqualContent() {
		ExpertMap map = map(Replica.of(0, 0), Replica.of(1, 0));

		assertThat(map.ref()).isEqualTo(map(Replica.of(0, 0), Replica.of(1, 0)).ref());
	}

	@Test
	void returnsDifferentDigestForDifferentPlacement() {
		ExpertMap map = map(Replica.of(0, 0), Replica.of(1, 0));

		assertThat(map.ref().digest()).isNotEqualTo(map(Replica.of(1, 0), Replica.of(0, 0)).ref().digest());
	}

	@Test
	void rejectsSlotUsedTwice() {
		assertThatIllegalArgumentException().isThrownBy(() -> map(Replica.of(0, 1), Replica.of(0, 1)))
			.withMessageContaining("slot twice");
	}

	@Test
	void rejectsReplicaOutsideGroup() {
		assertThatIllegalArgumentException().isThrownBy(() -> map(Replica.of(2, 0), Replica.of(0, 0)))
			.withMessageContaining("2 ranks of 2 slots");
	}

	@Test
	void rejectsExpertTwiceOnSameRank() {
		LayerMap layer = new LayerMap(List.of(List.of(Replica.of(0, 0), Replica.of(0, 1))));

		assertThatIllegalArgumentException()
			.isThrownBy(() -> new ExpertMap(GroupId.of("g"), MapVersion.of(1), 2, 2, List.of(layer)))
			.withMessageContaining("twice on a rank");
	}

	private static ExpertMap map(Replica first, Replica second) {
		LayerMap layer = new LayerMap(List.of(List.of(first), List.of(second)));
		return new ExpertMap(GroupId.of("g"), MapVersion.of(1), 2, 2, List.of(layer));
	}

}
