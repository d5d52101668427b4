package org.comfreywall.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.LedgerCommandRecord;

/**
 * A command or query addressed to a ledger.
 *
 * @param ledger the ledger's name
 * @param command the encoded command or query
 */
public record LedgerCommand(String ledger, Bytes command) {

	public LedgerCommand {
		Preconditions.notBlank(ledger, "ledger");
		Preconditions.notNull(command, "command");
	}

	/**
	 * Encodes the command together with the name of its ledger.
	 * @return the encoded command
	 */
	public Bytes encode() {
		return Bytes.of(LedgerCommandRecord.newBuilder()
			.setLedger(this.ledger)
			.setCommand(UnsafeByteOperations.unsafeWrap(this.command.toArray()))
			.build()
			.toByteArray());
	}

	static Result<LedgerCommand> decode(Bytes encoded) {
		try {
			LedgerCommandRecord decoded = LedgerCommandRecord.parseFrom(encoded.toArray());
			return Result.success(new LedgerCommand(decoded.getLedger(), Bytes.of(decoded.getCommand().toByteArray())));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.REPLICATE,
					"the command or query cannot be decoded: " + ex.getMessage()));
		}
	}

}
