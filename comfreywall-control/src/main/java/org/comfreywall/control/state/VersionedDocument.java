package org.comfreywall.control.state;

import java.nio.ByteBuffer;
import java.util.Optional;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A document with the version that the operator assigned to it.
 *
 * @param version the version; {@link Long#MIN_VALUE} means that there is no document
 * @param content the content, opaque to the ledger
 */
public record VersionedDocument(long version, Bytes content) {

	/** Stands for a missing document. */
	public static final VersionedDocument NONE = new VersionedDocument(Long.MIN_VALUE, Bytes.EMPTY);

	public VersionedDocument {
		Preconditions.notNull(content, "content");
	}

	/**
	 * Returns whether there is a document.
	 * @return {@code false} for {@link #NONE}
	 */
	public boolean isPresent() {
		return this.version != Long.MIN_VALUE;
	}

	/**
	 * Encodes the document as its version, a big-endian 64-bit integer, followed by its
	 * content.
	 * @return the encoded document
	 */
	public Bytes encode() {
		ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES + this.content.length());
		return Bytes.of(buffer.putLong(this.version).put(this.content.toArray()).array());
	}

	/**
	 * Decodes a document.
	 * @param encoded a document encoded by {@link #encode()}
	 * @return the document, or empty if the input is too short to hold a version
	 */
	public static Optional<VersionedDocument> decode(Bytes encoded) {
		if (encoded.length() < Long.BYTES) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(encoded.toArray());
		long version = buffer.getLong();
		byte[] content = new byte[buffer.remaining()];
		buffer.get(content);
		return Optional.of(new VersionedDocument(version, Bytes.of(content)));
	}

}
