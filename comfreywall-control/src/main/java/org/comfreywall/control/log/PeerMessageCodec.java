package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.control.generated.AppendReplyRecord;
import org.comfreywall.control.generated.AppendRequestRecord;
import org.comfreywall.control.generated.PeerMessageRecord;
import org.comfreywall.control.generated.SnapshotChunkRecord;
import org.comfreywall.control.generated.SnapshotReplyRecord;
import org.comfreywall.control.generated.TransferRecord;
import org.comfreywall.control.generated.VoteReplyRecord;
import org.comfreywall.control.generated.VoteRequestRecord;

/**
 * Converts messages between control instances to and from their records.
 */
final class PeerMessageCodec {

	private PeerMessageCodec() {
	}

	static PeerMessageRecord toRecord(PeerMessage message) {
		PeerMessageRecord.Builder builder = PeerMessageRecord.newBuilder()
			.setFrom(message.from().value())
			.setFromStorageId(message.fromStorageId())
			.setTo(message.to().value())
			.setTerm(message.term().value());
		if (message.body() instanceof AppendRequest request) {
			return builder.setAppendRequest(toRecord(request)).build();
		}
		if (message.body() instanceof AppendReply reply) {
			return builder.setAppendReply(toRecord(reply)).build();
		}
		if (message.body() instanceof VoteRequest request) {
			return builder.setVoteRequest(toRecord(request)).build();
		}
		if (message.body() instanceof VoteReply reply) {
			return builder.setVoteReply(toRecord(reply)).build();
		}
		if (message.body() instanceof SnapshotChunk chunk) {
			return builder.setSnapshotChunk(toRecord(chunk)).build();
		}
		if (message.body() instanceof SnapshotReply reply) {
			return builder.setSnapshotReply(toRecord(reply)).build();
		}
		return builder.setTransfer(TransferRecord.getDefaultInstance()).build();
	}

	static PeerMessage fromRecord(PeerMessageRecord message) {
		return new PeerMessage(InstanceId.of(message.getFrom()), message.getFromStorageId(),
				InstanceId.of(message.getTo()), Term.of(message.getTerm()), body(message));
	}

	private static PeerBody body(PeerMessageRecord message) {
		return switch (message.getBodyCase()) {
			case VOTE_REQUEST -> fromRecord(message.getVoteRequest());
			case VOTE_REPLY -> fromRecord(message.getVoteReply());
			case APPEND_REQUEST -> fromRecord(message.getAppendRequest());
			case APPEND_REPLY -> fromRecord(message.getAppendReply());
			case SNAPSHOT_CHUNK -> fromRecord(message.getSnapshotChunk());
			case SNAPSHOT_REPLY -> fromRecord(message.getSnapshotReply());
			case TRANSFER -> new TransferRequest();
			case BODY_NOT_SET -> throw new IllegalArgumentException("the message has no body");
		};
	}

	private static VoteRequestRecord toRecord(VoteRequest request) {
		return VoteRequestRecord.newBuilder()
			.setPreVote(request.preVote())
			.setLeaderTransfer(request.leaderTransfer())
			.setSentNanos(request.sentNanos())
			.setLife(request.voterIncarnation())
			.setLastIndex(request.last().index())
			.setLastTerm(request.last().term().value())
			.build();
	}

	private static VoteRequest fromRecord(VoteRequestRecord request) {
		return new VoteRequest(request.getPreVote(), request.getLeaderTransfer(),
				new LogPosition(request.getLastIndex(), Term.of(request.getLastTerm())), request.getSentNanos(),
				request.getLife());
	}

	private static VoteReplyRecord toRecord(VoteReply reply) {
		return VoteReplyRecord.newBuilder()
			.setPreVote(reply.preVote())
			.setGranted(reply.granted())
			.setSentNanos(reply.sentNanos())
			.setLife(reply.incarnation())
			.build();
	}

	private static VoteReply fromRecord(VoteReplyRecord reply) {
		return new VoteReply(reply.getPreVote(), reply.getGranted(), reply.getSentNanos(), reply.getLife());
	}

	private static AppendRequestRecord toRecord(AppendRequest request) {
		AppendRequestRecord.Builder builder = AppendRequestRecord.newBuilder()
			.setPreviousIndex(request.previous().index())
			.setPreviousTerm(request.previous().term().value())
			.setCommitIndex(request.commitIndex())
			.setSentNanos(request.sentNanos());
		request.entries().forEach((entry) -> builder.addEntries(RecordCodec.toRecord(entry)));
		return builder.build();
	}

	private static AppendRequest fromRecord(AppendRequestRecord request) {
		LogPosition previous = new LogPosition(request.getPreviousIndex(), Term.of(request.getPreviousTerm()));
		return new AppendRequest(previous, request.getCommitIndex(), request.getSentNanos(),
				request.getEntriesList().stream().map(RecordCodec::fromRecord).toList());
	}

	private static AppendReplyRecord toRecord(AppendReply reply) {
		return AppendReplyRecord.newBuilder()
			.setAccepted(reply.accepted())
			.setIndex(reply.index())
			.setSentNanos(reply.sentNanos())
			.build();
	}

	private static AppendReply fromRecord(AppendReplyRecord reply) {
		return new AppendReply(reply.getAccepted(), reply.getIndex(), reply.getSentNanos());
	}

	private static SnapshotChunkRecord toRecord(SnapshotChunk chunk) {
		return SnapshotChunkRecord.newBuilder()
			.setIndex(chunk.position().index())
			.setSnapshotTerm(chunk.position().term().value())
			.setOffset(chunk.offset())
			.setData(RecordCodec.wrap(chunk.data()))
			.setLast(chunk.last())
			.setSentNanos(chunk.sentNanos())
			.build();
	}

	private static SnapshotChunk fromRecord(SnapshotChunkRecord chunk) {
		return new SnapshotChunk(new LogPosition(chunk.getIndex(), Term.of(chunk.getSnapshotTerm())), chunk.getOffset(),
				RecordCodec.unwrap(chunk.getData()), chunk.getLast(), chunk.getSentNanos());
	}

	private static SnapshotReplyRecord toRecord(SnapshotReply reply) {
		return SnapshotReplyRecord.newBuilder()
			.setIndex(reply.index())
			.setNextOffset(reply.nextOffset())
			.setInstalled(reply.installed())
			.setSentNanos(reply.sentNanos())
			.build();
	}

	private static SnapshotReply fromRecord(SnapshotReplyRecord reply) {
		return new SnapshotReply(reply.getIndex(), reply.getNextOffset(), reply.getInstalled(), reply.getSentNanos());
	}

}
