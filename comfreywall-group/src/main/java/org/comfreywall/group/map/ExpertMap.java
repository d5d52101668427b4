package org.comfreywall.group.map;

import java.util.BitSet;
import java.util.List;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * Placement of the expert replicas of all layers on the ranks of a group.
 *
 * @param group the group
 * @param version the map's version
 * @param ranks the number of ranks
 * @param slotsPerRank the number of experts per layer for which a rank has memory
 * @param layers the placements of the layers that have experts, in order
 */
public record ExpertMap(GroupId group, MapVersion version, int ranks, int slotsPerRank, List<LayerMap> layers) {

	public ExpertMap {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(version, "version");
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		Preconditions.check(slotsPerRank >= 1, "slotsPerRank must be at least 1: %d", slotsPerRank);
		Preconditions.notNull(layers, "layers");
		layers = List.copyOf(layers);
		for (int layer = 0; layer < layers.size(); layer++) {
			checkLayer(layers.get(layer), layer, ranks, slotsPerRank);
		}
	}

	/**
	 * Computes the reference to this map. Hashing a large map takes about a millisecond,
	 * so callers cache the result.
	 * @return the version and digest
	 */
	public MapRef ref() {
		return new MapRef(this.version, MapEncoder.encode(this).sha256());
	}

	/**
	 * Returns the same placement under another version.
	 * @param newVersion the version of the returned map
	 * @return the map
	 */
	public ExpertMap withVersion(MapVersion newVersion) {
		return new ExpertMap(this.group, newVersion, this.ranks, this.slotsPerRank, this.layers);
	}

	private static void checkLayer(LayerMap layer, int index, int ranks, int slotsPerRank) {
		BitSet usedSlots = new BitSet(ranks * slotsPerRank);
		for (int expert = 0; expert < layer.experts(); expert++) {
			BitSet usedRanks = new BitSet(ranks);
			for (Replica replica : layer.replicasOf(expert)) {
				checkReplica(replica, index, expert, ranks, slotsPerRank);
				int position = replica.rank() * slotsPerRank + replica.slot();
				Preconditions.check(!usedSlots.get(position), "replicas must not use a slot twice: layer %d, %s", index,
						replica);
				Preconditions.check(!usedRanks.get(replica.rank()),
						"replicas must not place an expert twice on a rank: layer %d, expert %d, %s", index, expert,
						replica);
				usedSlots.set(position);
				usedRanks.set(replica.rank());
			}
		}
	}

	private static void checkReplica(Replica replica, int layer, int expert, int ranks, int slotsPerRank) {
		Preconditions.check(replica.rank() < ranks && replica.slot() < slotsPerRank,
				"replicas must lie within %d ranks of %d slots: layer %d, expert %d, %s", ranks, slotsPerRank, layer,
				expert, replica);
	}

}
