package org.comfreywall.common.util;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * An immutable sequence of bytes.
 */
public final class Bytes {

	/** The empty sequence. */
	public static final Bytes EMPTY = new Bytes(new byte[0]);

	private final byte[] content;

	private Bytes(byte[] content) {
		this.content = content;
	}

	/**
	 * Copies an array.
	 * @param content the bytes
	 * @return the immutable copy
	 */
	public static Bytes of(byte[] content) {
		return new Bytes(Preconditions.notNull(content, "content").clone());
	}

	/**
	 * Encodes a string as UTF-8.
	 * @param text the string
	 * @return the encoded bytes
	 */
	public static Bytes ofText(String text) {
		return new Bytes(Preconditions.notNull(text, "text").getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the number of bytes.
	 * @return the length
	 */
	public int length() {
		return this.content.length;
	}

	/**
	 * Copies the bytes into a new array.
	 * @return the array
	 */
	public byte[] toArray() {
		return this.content.clone();
	}

	/**
	 * Decodes the bytes as UTF-8.
	 * @return the string
	 */
	public String toText() {
		return new String(this.content, StandardCharsets.UTF_8);
	}

	/**
	 * Computes the SHA-256 digest of the bytes.
	 * @return the digest in lower-case hexadecimal
	 */
	public String sha256() {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this.content));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Bytes bytes && Arrays.equals(this.content, bytes.content);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.content);
	}

	@Override
	public String toString() {
		return "Bytes[" + this.content.length + "]";
	}

}
