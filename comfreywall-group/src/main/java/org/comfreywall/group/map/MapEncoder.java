package org.comfreywall.group.map;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import org.comfreywall.common.util.Bytes;

/**
 * Canonical binary encoding of a map's content, from which its digest is computed.
 */
final class MapEncoder {

	private MapEncoder() {
	}

	static Bytes encode(ExpertMap map) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeUTF(map.group().value());
			out.writeLong(map.version().value());
			out.writeInt(map.ranks());
			out.writeInt(map.slotsPerRank());
			out.writeInt(map.layers().size());
			for (LayerMap layer : map.layers()) {
				writeLayer(out, layer);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write to memory", ex);
		}
		return Bytes.of(bytes.toByteArray());
	}

	private static void writeLayer(DataOutputStream out, LayerMap layer) throws IOException {
		out.writeInt(layer.experts());
		for (int expert = 0; expert < layer.experts(); expert++) {
			out.writeInt(layer.replicasOf(expert).size());
			for (Replica replica : layer.replicasOf(expert)) {
				out.writeInt(replica.rank());
				out.writeInt(replica.slot());
				out.writeInt(replica.weight());
			}
		}
	}

}
