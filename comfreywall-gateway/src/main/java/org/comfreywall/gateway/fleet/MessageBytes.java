package org.comfreywall.gateway.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import com.google.protobuf.CodedOutputStream;

/**
 * Encodes messages field by field, without their generated classes.
 */
final class MessageBytes {

	private MessageBytes() {
	}

	/**
	 * Returns what is written.
	 * @param expectedBytes the expected length in bytes
	 * @param fields writes the fields
	 * @return the encoded fields
	 */
	static byte[] of(int expectedBytes, Fields fields) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(expectedBytes);
		try {
			CodedOutputStream out = CodedOutputStream.newInstance(bytes);
			fields.writeTo(out);
			out.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("memory cannot be written", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Writes fields.
	 */
	@FunctionalInterface
	interface Fields {

		/**
		 * Writes the fields.
		 * @param out where they are written to
		 * @throws IOException if they cannot be written
		 */
		void writeTo(CodedOutputStream out) throws IOException;

	}

}
