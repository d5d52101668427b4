package org.comfreywall.control.state;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * Stores the highest version of one document that operators replace as a whole.
 * <p>
 * A document replaces the stored one only if its version is higher. A document with the
 * same or a lower version is ignored even if its content differs, so a resend is always
 * safe. Commands are encoded with {@link VersionedDocument#encode()}; the answer is the
 * stored version afterwards, as a big-endian 64-bit integer.
 */
public final class DocumentLedger implements Ledger {

	/** The ledger's name. */
	public static final String NAME = "document";

	private final Consumer<VersionedDocument> listener;

	private VersionedDocument current = VersionedDocument.NONE;

	/**
	 * Creates an empty ledger.
	 * @param listener receives each document that replaces the stored one, on the control
	 * node's thread
	 */
	public DocumentLedger(Consumer<VersionedDocument> listener) {
		this.listener = Preconditions.notNull(listener, "listener");
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		VersionedDocument.decode(command).ifPresent(this::replaceIfNewer);
		return encodeVersion();
	}

	private void replaceIfNewer(VersionedDocument document) {
		if (document.version() > this.current.version()) {
			this.current = document;
			this.listener.accept(document);
		}
	}

	private Bytes encodeVersion() {
		return Bytes.of(ByteBuffer.allocate(Long.BYTES).putLong(this.current.version()).array());
	}

	@Override
	public Bytes query(Bytes query) {
		return this.current.encode();
	}

	@Override
	public Bytes snapshot() {
		return this.current.encode();
	}

	@Override
	public void restore(Bytes snapshot) {
		VersionedDocument restored = VersionedDocument.decode(snapshot)
			.orElseThrow(() -> new IllegalArgumentException("the document in the snapshot is malformed"));
		boolean newer = restored.version() > this.current.version();
		this.current = restored;
		if (newer) {
			this.listener.accept(restored);
		}
	}

}
