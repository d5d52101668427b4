package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Seeded property tests of the placement planner with random groups and drifting
 * popularity.
 */
class PlacementPlannerPropertyTests {

	private static final int PLANS = 12;

	private final DecisionHistory history = new DecisionHistory(PLANS);

	private final Invariants invariants = new Invariants();

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 })
	void everyPlanRespectsTheLimits(long seed) {
		Random random = new Random(seed);
		GroupShape shape = randomShape(random);
		PlacementPlanner planner = new PlacementPlanner(randomSettings(random), this.history, this.invariants);
		double[][] popularity = RandomPopularity.create(random, shape);
		double[] speeds = new double[shape.ranks()];
		Arrays.fill(speeds, 1);
		Placement current = Placement.empty(shape);
		for (int round = 0; round < PLANS; round++) {
			PlanRequest request = request(shape, current, popularity, speeds);
			PlacementPlan plan = planner.plan(request);
			verify(request, plan, round);
			current = plan.placement();
			RandomPopularity.drift(random, popularity);
			speeds[random.nextInt(speeds.length)] = 0.5 + random.nextDouble();
		}
		assertThat(this.history.all()).hasSize(PLANS);
		assertThat(this.invariants.violations()).isZero();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void everyExpertKeepsACopyWhenARankIsLostAndTheNextPlanRestoresTheSpread(long seed) {
		Random random = new Random(seed);
		int[] slots = new int[8];
		Arrays.fill(slots, 10);
		int[] domains = { 0, 1, 2, 0, 1, 2, 0, 1 };
		GroupShape shape = GroupShape.of(2, 32, slots, domains, 1 << 20);
		double[][] popularity = RandomPopularity.create(random, shape);
		double[] speeds = { 1, 1, 1, 1, 1, 1, 1, 1 };
		PlacementPlanner planner = new PlacementPlanner(settings(1, 1e9), this.history, this.invariants);
		Placement current = planner.plan(request(shape, Placement.empty(shape), popularity, speeds)).placement();
		slots[random.nextInt(8)] = 0;
		GroupShape withoutRank = GroupShape.of(2, 32, slots, domains, 1 << 20);
		assertEveryExpertHasCopies(withoutRank, current, CopySpread.NONE);
		PlacementPlan repaired = planner.plan(request(withoutRank, current, popularity, speeds));
		assertThat(repaired.reason()).isEqualTo(PlanReason.COPIES_LOST);
		assertEveryExpertHasCopies(withoutRank, repaired.placement(), withoutRank.spread());
	}

	private static PlanRequest request(GroupShape shape, Placement current, double[][] popularity, double[] speeds) {
		boolean[] changed = new boolean[shape.layers()];
		Arrays.fill(changed, true);
		return new PlanRequest(GroupId.of("g"), shape, current, popularity, speeds, changed, "test");
	}

	private static void verify(PlanRequest request, PlacementPlan plan, int round) {
		GroupShape shape = request.shape();
		assertThat(plan.reason() == PlanReason.FIRST_PLAN).isEqualTo(round == 0);
		assertEveryExpertHasCopies(shape, plan.placement(), shape.spread());
		assertThat(movesLeadToPlacement(request, plan)).isTrue();
		double skew = StepSkew.of(shape, plan.placement(), request.popularity(), request.speeds());
		assertThat(skew)
			.isGreaterThanOrEqualTo(StepSkew.lowerBound(shape, request.popularity(), request.speeds()) - 1e-6);
		if (round > 0) {
			double currentSkew = StepSkew.of(shape, request.current(), request.popularity(), request.speeds());
			PlacementWeights weights = plan.price().weights();
			double bytes = plan.moves().stream().mapToLong(ExpertMove::bytes).sum();
			assertThat(weights.skewWeight() * skew + weights.moveWeight() * bytes / (1 << 30))
				.isLessThanOrEqualTo(weights.skewWeight() * currentSkew * 1.001);
		}
	}

	private static boolean movesLeadToPlacement(PlanRequest request, PlacementPlan plan) {
		int moved = 0;
		GroupShape shape = request.shape();
		for (int layer = 0; layer < shape.layers(); layer++) {
			for (int position = 0; position < shape.ranks() * shape.stride(); position++) {
				int expert = plan.placement().expert(layer, position);
				if (expert != Placement.EMPTY && expert != request.current().expert(layer, position)) {
					moved++;
				}
			}
		}
		return moved == plan.moves().size() && plan.moves()
			.stream()
			.allMatch((move) -> plan.placement()
				.expert(move.layer(), move.rank() * shape.stride() + move.slot()) == move.expert());
	}

	private static void assertEveryExpertHasCopies(GroupShape shape, Placement placement, CopySpread spread) {
		for (int layer = 0; layer < shape.layers(); layer++) {
			for (int expert = 0; expert < shape.experts(); expert++) {
				int layerIndex = layer;
				int expertIndex = expert;
				int[] ranks = IntStream.range(0, shape.ranks())
					.filter((rank) -> shape.slots(rank) > 0 && placement.holds(shape, layerIndex, rank, expertIndex))
					.toArray();
				assertThat(ranks.length).isGreaterThanOrEqualTo(spread.minimumCopies());
				if (spread == CopySpread.FAILURE_DOMAINS) {
					assertThat(Arrays.stream(ranks).map(shape::domain).distinct().count()).isGreaterThan(1);
				}
			}
		}
	}

	private static GroupShape randomShape(Random random) {
		int ranks = 4 + random.nextInt(12);
		int experts = 8 + random.nextInt(40);
		int slots = experts / ranks + 1 + random.nextInt(2 * experts / ranks + 2);
		int[] slotsOfRanks = random.ints(ranks, slots, slots + 2).toArray();
		int[] domains = random.ints(ranks, 0, 3).toArray();
		return GroupShape.of(1 + random.nextInt(3), experts, slotsOfRanks, domains, 40 << 20);
	}

	private static PlannerSettings randomSettings(Random random) {
		return settings(random.nextDouble() * 100, random.nextDouble() * 30);
	}

	private static PlannerSettings settings(double skewWeight, double moveWeight) {
		return PlannerSettings.of(new PlacementWeights(skewWeight, moveWeight), 1e9);
	}

}
