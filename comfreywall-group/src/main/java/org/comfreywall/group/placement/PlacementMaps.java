package org.comfreywall.group.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.ExpertMap;
import org.comfreywall.group.map.LayerMap;
import org.comfreywall.group.map.MapVersion;
import org.comfreywall.group.map.Replica;

/**
 * Converts between placements and expert maps.
 */
public final class PlacementMaps {

	/** The weight of a copy that receives all traffic of its expert. */
	public static final int FULL_WEIGHT = 10_000;

	private PlacementMaps() {
	}

	/**
	 * Converts a placement to an expert map.
	 * @param shape the group's shape
	 * @param placement the placement, in which every expert has a copy
	 * @param group the group
	 * @param version the version of the map
	 * @return the map; weights are at least 1, also for a copy without traffic
	 */
	public static ExpertMap toMap(GroupShape shape, Placement placement, GroupId group, MapVersion version) {
		List<LayerMap> layers = IntStream.range(0, shape.layers())
			.mapToObj((layer) -> toLayer(shape, placement, layer))
			.toList();
		return new ExpertMap(group, version, shape.ranks(), shape.stride(), layers);
	}

	private static LayerMap toLayer(GroupShape shape, Placement placement, int layer) {
		List<List<Replica>> replicas = new ArrayList<>();
		for (int expert = 0; expert < shape.experts(); expert++) {
			replicas.add(new ArrayList<>());
		}
		for (int position = 0; position < shape.ranks() * shape.stride(); position++) {
			int expert = placement.expert(layer, position);
			if (expert != Placement.EMPTY) {
				int weight = Math.max(1, (int) Math.rint(placement.share(layer, position) * FULL_WEIGHT));
				replicas.get(expert).add(new Replica(position / shape.stride(), position % shape.stride(), weight));
			}
		}
		return new LayerMap(replicas);
	}

	/**
	 * Converts an expert map to a placement.
	 * @param shape the group's shape
	 * @param map the map, with the shape's ranks, slots, layers and experts
	 * @return the placement
	 */
	public static Placement fromMap(GroupShape shape, ExpertMap map) {
		Preconditions.check(map.ranks() == shape.ranks() && map.slotsPerRank() == shape.stride(),
				"map must have %d ranks of %d slots", shape.ranks(), shape.stride());
		Preconditions.check(map.layers().size() == shape.layers(), "map must have %d layers: %d", shape.layers(),
				map.layers().size());
		Placement placement = Placement.empty(shape);
		for (int layer = 0; layer < shape.layers(); layer++) {
			fillLayer(shape, map.layers().get(layer), placement.layerExperts(layer), placement.layerShares(layer));
		}
		return placement;
	}

	private static void fillLayer(GroupShape shape, LayerMap layer, int[] experts, double[] shares) {
		Preconditions.check(layer.experts() == shape.experts(), "map must have %d experts per layer: %d",
				shape.experts(), layer.experts());
		for (int expert = 0; expert < layer.experts(); expert++) {
			double total = layer.replicasOf(expert).stream().mapToInt(Replica::weight).sum();
			for (Replica replica : layer.replicasOf(expert)) {
				int position = replica.rank() * shape.stride() + replica.slot();
				experts[position] = expert;
				shares[position] = replica.weight() / total;
			}
		}
	}

}
