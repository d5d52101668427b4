package org.comfreywall.control.state;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.EvacuationAnswerRecord;
import org.comfreywall.control.generated.EvacuationCommandRecord;
import org.comfreywall.control.generated.EvacuationOrdersRecord;

/**
 * Encodes and decodes the commands, answers and state of the {@link EvacuationLedger}.
 */
public final class EvacuationCodec {

	private EvacuationCodec() {
	}

	/**
	 * Encodes a command.
	 * @param command the command
	 * @return the encoded command
	 */
	public static Bytes encode(EvacuationCommand command) {
		EvacuationCommandRecord.Builder encoded = EvacuationCommandRecord.newBuilder()
			.setFailureDomain(command.domain())
			.setStart(command.start());
		command.knownVersion().ifPresent(encoded::setKnownVersion);
		return Bytes.of(encoded.build().toByteArray());
	}

	/**
	 * Decodes the answer to a command or a query.
	 * @param answer the encoded answer
	 * @return the answer; empty if the command was malformed or beyond a limit, or if the
	 * answer is malformed
	 */
	public static Optional<EvacuationAnswer> decodeAnswer(Bytes answer) {
		try {
			return Optional.of(EvacuationAnswerRecord.parseFrom(answer.toArray()))
				.filter(EvacuationAnswerRecord::hasOrders)
				.map((decoded) -> new EvacuationAnswer(fromRecord(decoded.getOrders()), decoded.getOutdated()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	static Optional<EvacuationCommand> decodeCommand(Bytes command) {
		try {
			EvacuationCommandRecord decoded = EvacuationCommandRecord.parseFrom(command.toArray());
			OptionalLong known = decoded.hasKnownVersion() ? OptionalLong.of(decoded.getKnownVersion())
					: OptionalLong.empty();
			return Optional.of(new EvacuationCommand(decoded.getFailureDomain(), decoded.getStart(), known));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	static Bytes encodeAnswer(Optional<EvacuationAnswer> answer) {
		EvacuationAnswerRecord.Builder encoded = EvacuationAnswerRecord.newBuilder();
		answer.ifPresent((present) -> encoded.setOrders(toRecord(present.orders())).setOutdated(present.outdated()));
		return Bytes.of(encoded.build().toByteArray());
	}

	static Bytes encodeState(EvacuationOrders orders) {
		return Bytes.of(toRecord(orders).toByteArray());
	}

	static EvacuationOrders decodeState(Bytes state) {
		try {
			return fromRecord(EvacuationOrdersRecord.parseFrom(state.toArray()));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the evacuations in the snapshot cannot be decoded", ex);
		}
	}

	private static EvacuationOrdersRecord toRecord(EvacuationOrders orders) {
		return EvacuationOrdersRecord.newBuilder()
			.setVersion(orders.version())
			.addAllEvacuatedDomains(new TreeSet<>(orders.domains()))
			.build();
	}

	private static EvacuationOrders fromRecord(EvacuationOrdersRecord orders) {
		return new EvacuationOrders(orders.getVersion(), Set.copyOf(orders.getEvacuatedDomainsList()));
	}

}
