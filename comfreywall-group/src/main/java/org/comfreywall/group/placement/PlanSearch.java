package org.comfreywall.group.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Searches for one plan. Layers are searched independently; then the plan takes their
 * improvements in descending order of gain per byte read, within its byte budget.
 */
final class PlanSearch {

	private static final double MIN_SPLIT_GAIN = 1e-3;

	private final PlannerSettings settings;

	private final PlanRequest request;

	private final GroupShape shape;

	private final CopySpread spread;

	private final double meanTime;

	private final double skewCost;

	private final double readCost;

	private final LayerOption[] chosen;

	private final LayerOption[] fastest;

	private final double[] slowestBefore;

	private boolean hasEmptyLayer;

	private boolean hasLostCopies;

	PlanSearch(PlannerSettings settings, PlanRequest request) {
		this.settings = settings;
		this.request = request;
		this.shape = request.shape();
		this.spread = this.shape.spread();
		this.meanTime = Arrays.stream(request.popularity())
			.mapToDouble((layer) -> StepSkew.balancedTime(layer, request.speeds()))
			.sum();
		this.skewCost = (this.meanTime > 0) ? settings.weights().skewWeight() / this.meanTime : 0;
		this.readCost = settings.weights().moveWeight() * this.shape.expertBytes() / PlanPrice.GIBIBYTE;
		this.chosen = new LayerOption[this.shape.layers()];
		this.fastest = new LayerOption[this.shape.layers()];
		this.slowestBefore = new double[this.shape.layers()];
	}

	PlacementPlan run() {
		long budget = this.settings.maximumPlanBytes();
		LayerOutcome[] outcomes = IntStream.range(0, this.shape.layers())
			.mapToObj(this::searchLayer)
			.toArray(LayerOutcome[]::new);
		for (int layer : byGainPerRead(outcomes)) {
			LayerOutcome outcome = outcomes[layer];
			long bytes = outcome.cheapest().reads() * this.shape.expertBytes();
			boolean fits = bytes <= budget || outcome.initial() == outcome.cheapest();
			this.chosen[layer] = fits ? outcome.cheapest() : outcome.initial();
			this.fastest[layer] = outcome.fastest();
			budget -= fits ? Math.min(bytes, budget) : 0;
		}
		return decide();
	}

	private LayerOutcome searchLayer(int layer) {
		LayerState state = currentState(layer);
		int[] origin = this.request.current().layerExperts(layer);
		this.slowestBefore[layer] = state.slowestTime();
		if (this.request.current().isLayerEmpty(layer)) {
			this.hasEmptyLayer = true;
			return rebuild(state, origin);
		}
		LayerRepair repair = new LayerRepair(state, this.spread);
		if (repair.isNeeded()) {
			this.hasLostCopies = true;
			return repair.repair() ? search(state, origin) : rebuild(emptyState(layer), origin);
		}
		if (!this.request.changed()[layer]) {
			return layerSearch(0).search(state, origin, this.skewCost, this.readCost);
		}
		return search(state, origin);
	}

	private LayerState currentState(int layer) {
		return LayerState.from(this.shape, this.request.current(), layer, this.request.popularity()[layer],
				this.request.speeds());
	}

	private LayerState emptyState(int layer) {
		return new LayerState(this.shape, this.request.popularity()[layer], this.request.speeds());
	}

	// Packs a layer from scratch. Its reads are needed in any case, so their price is not
	// taken into account.
	private LayerOutcome rebuild(LayerState state, int[] origin) {
		LayerPacker.pack(state, this.spread);
		LayerOption fastest = layerSearch(this.settings.maximumSteps()).search(state, origin, this.skewCost, 0)
			.fastest();
		return new LayerOutcome(fastest, fastest, fastest);
	}

	private LayerOutcome search(LayerState state, int[] origin) {
		return layerSearch(this.settings.maximumSteps()).search(state, origin, this.skewCost, this.readCost);
	}

	private LayerSearch layerSearch(int maximumSteps) {
		return new LayerSearch(this.shape, this.spread, maximumSteps);
	}

	private int[] byGainPerRead(LayerOutcome[] outcomes) {
		return IntStream.range(0, outcomes.length)
			.boxed()
			.sorted(Comparator.comparingDouble((Integer layer) -> gainPerRead(outcomes[layer])).reversed())
			.mapToInt(Integer::intValue)
			.toArray();
	}

	private double gainPerRead(LayerOutcome outcome) {
		return (outcome.initial().slowestTime() - outcome.cheapest().slowestTime())
				/ Math.max(1, outcome.cheapest().reads());
	}

	private PlacementPlan decide() {
		PlanPrice price = price(this.chosen);
		if (this.hasEmptyLayer || this.hasLostCopies) {
			return accept(this.hasEmptyLayer ? PlanReason.FIRST_PLAN : PlanReason.COPIES_LOST, price);
		}
		if (price.bytes() > 0) {
			return accept(PlanReason.CHEAPER, price);
		}
		if (price.skewBefore() - price.skewForecast() >= MIN_SPLIT_GAIN) {
			return accept(PlanReason.SPLIT_ONLY, price);
		}
		return refuse(price(this.fastest));
	}

	private PlacementPlan refuse(PlanPrice considered) {
		PlanReason reason = PlanReason.NO_IMPROVEMENT;
		if (!IntStream.range(0, this.shape.layers()).anyMatch((layer) -> this.request.changed()[layer])) {
			reason = PlanReason.WITHIN_NOISE;
		}
		else if (considered.bytes() > 0) {
			reason = PlanReason.TOO_DEAR;
		}
		return new PlacementPlan(reason, this.request.current(), List.of(), considered);
	}

	private PlanPrice price(LayerOption[] options) {
		double before = Arrays.stream(this.slowestBefore).sum();
		double after = Arrays.stream(options).mapToDouble(LayerOption::slowestTime).sum();
		long bytes = Arrays.stream(options).mapToLong(LayerOption::reads).sum() * this.shape.expertBytes();
		double bound = StepSkew.lowerBound(this.shape, this.request.popularity(), this.request.speeds());
		return new PlanPrice(toSkew(before), toSkew(after), bound, bytes, bytes / this.settings.storeBytesPerSecond(),
				this.settings.weights());
	}

	private double toSkew(double slowest) {
		return (this.meanTime > 0) ? slowest / this.meanTime : 1;
	}

	private PlacementPlan accept(PlanReason reason, PlanPrice price) {
		int[][] experts = new int[this.shape.layers()][];
		double[][] shares = new double[this.shape.layers()][];
		List<ExpertMove> moves = new ArrayList<>();
		for (int layer = 0; layer < experts.length; layer++) {
			experts[layer] = this.chosen[layer].experts();
			shares[layer] = trafficShares(layer);
			addMoves(layer, moves);
		}
		moves.sort(Comparator.comparingDouble(ExpertMove::gainPerByte).reversed());
		return new PlacementPlan(reason, new Placement(experts, shares), moves, price);
	}

	private double[] trafficShares(int layer) {
		int[] experts = this.chosen[layer].experts();
		LayerState state = emptyState(layer);
		for (int position = 0; position < experts.length; position++) {
			if (experts[position] != Placement.EMPTY) {
				state.addCopy(position, experts[position]);
			}
		}
		state.splitAll(LayerSearch.FINAL_SWEEPS);
		return state.shares();
	}

	private void addMoves(int layer, List<ExpertMove> moves) {
		LayerOption option = this.chosen[layer];
		int[] before = this.request.current().layerExperts(layer);
		double gain = toSkew(this.slowestBefore[layer] - option.slowestTime()) / Math.max(1, option.reads());
		for (int position = 0; position < before.length; position++) {
			int expert = option.experts()[position];
			if (expert != Placement.EMPTY && expert != before[position]) {
				moves.add(new ExpertMove(layer, position / this.shape.stride(), position % this.shape.stride(), expert,
						this.shape.expertBytes(), gain));
			}
		}
	}

}
