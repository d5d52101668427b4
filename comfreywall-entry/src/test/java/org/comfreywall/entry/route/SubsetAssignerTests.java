package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SubsetAssigner}.
 */
class SubsetAssignerTests {

	private final SubsetAssigner assigner = new SubsetAssigner(10);

	@Test
	void assignsAllServersWhenThereAreFew() {
		assertThat(this.assigner.assign(entries(3).get(0), entries(3), servers(10))).hasSize(10);
	}

	@Test
	void everyEntryGetsAFullSubsetAndNoServerExceedsItsQuota() {
		Map<InstanceId, Set<BackendServerId>> subsets = this.assigner.assignAll(entries(100), servers(200));
		assertThat(subsets.values()).allSatisfy((subset) -> assertThat(subset).hasSize(10));
		assertThat(servers(200)).allSatisfy(
				(server) -> assertThat(subsets.values().stream().filter((subset) -> subset.contains(server)).count())
					.isBetween(1L, 6L));
	}

	@Test
	void resultDoesNotDependOnTheOrderOfTheLists() {
		List<BackendServerId> reversed = new ArrayList<>(servers(200));
		Collections.reverse(reversed);
		assertThat(this.assigner.assignAll(entries(100), reversed))
			.isEqualTo(this.assigner.assignAll(entries(100), servers(200)));
	}

	@Test
	void removalOfAServerChangesFewOtherAssignments() {
		Map<InstanceId, Set<BackendServerId>> before = this.assigner.assignAll(entries(100), servers(200));
		Map<InstanceId, Set<BackendServerId>> after = this.assigner.assignAll(entries(100), servers(199));
		long moved = entries(100).stream()
			.mapToLong((entry) -> after.get(entry).stream().filter((s) -> !before.get(entry).contains(s)).count())
			.sum();
		assertThat(moved).isLessThan(50);
	}

	private static List<InstanceId> entries(int count) {
		return IntStream.range(0, count).mapToObj((i) -> InstanceId.of("entry-" + i)).toList();
	}

	private static List<BackendServerId> servers(int count) {
		return IntStream.range(0, count).mapToObj((i) -> BackendServerId.of("server-" + i)).toList();
	}

}
