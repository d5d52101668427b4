package org.comfreywall.control.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.OrderTermRecord;
import org.comfreywall.control.generated.OrderTermRequestRecord;
import org.comfreywall.control.generated.OrderTermsRecord;

/**
 * Encodes and decodes order terms and requests for them.
 */
public final class OrderTermCodec {

	private OrderTermCodec() {
	}

	/**
	 * Encodes a request as a command of the {@link OrderTermsLedger}.
	 * @param subject the subject of the orders, such as a group
	 * @param holder the instance that will issue the orders
	 * @param request identifies the request, so that a resend gets the same term
	 * @return the encoded request
	 */
	public static Bytes encodeRequest(String subject, InstanceId holder, String request) {
		Preconditions.notBlank(subject, "subject");
		Preconditions.notBlank(request, "request");
		return Bytes.of(OrderTermRequestRecord.newBuilder()
			.setSubject(subject)
			.setHolder(holder.value())
			.setRequest(request)
			.build()
			.toByteArray());
	}

	/**
	 * Decodes an answer of the {@link OrderTermsLedger}.
	 * @param answer the encoded answer
	 * @return the term, or empty if none was issued
	 */
	public static Optional<OrderTerm> decode(Bytes answer) {
		if (answer.length() == 0) {
			return Optional.empty();
		}
		try {
			return Optional.of(fromRecord(OrderTermRecord.parseFrom(answer.toArray())));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the order term cannot be decoded", ex);
		}
	}

	static Optional<OrderTermRequestRecord> decodeRequest(Bytes command) {
		try {
			return Optional.of(OrderTermRequestRecord.parseFrom(command.toArray()))
				.filter((request) -> !request.getSubject().isBlank() && !request.getHolder().isBlank()
						&& !request.getRequest().isBlank());
		}
		catch (InvalidProtocolBufferException ex) {
			return Optional.empty();
		}
	}

	static Bytes encode(OrderTerm term) {
		return Bytes.of(toRecord(term).toByteArray());
	}

	static Bytes encodeAll(Collection<OrderTerm> terms) {
		OrderTermsRecord.Builder builder = OrderTermsRecord.newBuilder();
		terms.forEach((term) -> builder.addTerms(toRecord(term)));
		return Bytes.of(builder.build().toByteArray());
	}

	static List<OrderTerm> decodeAll(Bytes snapshot) {
		try {
			return OrderTermsRecord.parseFrom(snapshot.toArray())
				.getTermsList()
				.stream()
				.map(OrderTermCodec::fromRecord)
				.toList();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of the order terms cannot be decoded", ex);
		}
	}

	private static OrderTermRecord toRecord(OrderTerm term) {
		return OrderTermRecord.newBuilder()
			.setSubject(term.subject())
			.setHolder(term.holder().value())
			.setRequest(term.request())
			.setTerm(term.term().value())
			.build();
	}

	private static OrderTerm fromRecord(OrderTermRecord term) {
		return new OrderTerm(term.getSubject(), InstanceId.of(term.getHolder()), term.getRequest(),
				Term.of(term.getTerm()));
	}

}
