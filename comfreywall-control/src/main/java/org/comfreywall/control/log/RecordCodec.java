package org.comfreywall.control.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.BaseRecord;
import org.comfreywall.control.generated.EntryRecord;
import org.comfreywall.control.generated.MemberRecord;
import org.comfreywall.control.generated.MembershipRecord;
import org.comfreywall.control.generated.SnapshotRecord;
import org.comfreywall.control.state.LogTime;

/**
 * Converts entries, members and snapshots to and from their records. Malformed records
 * raise {@link IllegalArgumentException}.
 */
final class RecordCodec {

	private RecordCodec() {
	}

	static ByteString wrap(Bytes bytes) {
		return UnsafeByteOperations.unsafeWrap(bytes.toArray());
	}

	static Bytes unwrap(ByteString bytes) {
		return Bytes.of(bytes.toByteArray());
	}

	static EntryRecord toRecord(LogEntry entry) {
		EntryRecord.Builder builder = EntryRecord.newBuilder()
			.setIndex(entry.index())
			.setTerm(entry.position().term().value())
			.setLogTimeMillis(entry.time().millis());
		if (entry.content() instanceof CommandContent command) {
			builder.setCommand(wrap(command.command()));
		}
		else if (entry.content() instanceof MembershipContent membership) {
			builder.setMembership(toRecord(membership.membership()));
		}
		else {
			builder.setBarrier(true);
		}
		return builder.build();
	}

	static LogEntry fromRecord(EntryRecord entry) {
		LogPosition position = new LogPosition(entry.getIndex(), Term.of(entry.getTerm()));
		return new LogEntry(position, LogTime.of(entry.getLogTimeMillis()), content(entry));
	}

	private static EntryContent content(EntryRecord entry) {
		return switch (entry.getContentCase()) {
			case BARRIER -> new BarrierContent();
			case COMMAND -> new CommandContent(unwrap(entry.getCommand()));
			case MEMBERSHIP -> new MembershipContent(fromRecord(entry.getMembership()));
			case CONTENT_NOT_SET -> throw new IllegalArgumentException("entry " + entry.getIndex() + " has no content");
		};
	}

	static MembershipRecord toRecord(Membership membership) {
		MembershipRecord.Builder builder = MembershipRecord.newBuilder();
		membership.members().forEach((member) -> builder.addMembers(toRecord(member)));
		return builder.build();
	}

	private static MemberRecord toRecord(Member member) {
		return MemberRecord.newBuilder()
			.setInstance(member.instance().value())
			.setStorageId(member.storageId())
			.setVoter(member.voter())
			.build();
	}

	static Membership fromRecord(MembershipRecord membership) {
		return new Membership(membership.getMembersList().stream().map(RecordCodec::fromRecord).toList());
	}

	private static Member fromRecord(MemberRecord member) {
		return new Member(InstanceId.of(member.getInstance()), member.getStorageId(), member.getVoter());
	}

	static BaseRecord toRecord(LogPosition position) {
		return BaseRecord.newBuilder().setIndex(position.index()).setTerm(position.term().value()).build();
	}

	static LogPosition fromRecord(BaseRecord base) {
		return new LogPosition(base.getIndex(), Term.of(base.getTerm()));
	}

	static SnapshotRecord toRecord(Snapshot snapshot) {
		return SnapshotRecord.newBuilder()
			.setIndex(snapshot.position().index())
			.setTerm(snapshot.position().term().value())
			.setLogTimeMillis(snapshot.time().millis())
			.setMembership(toRecord(snapshot.membership()))
			.setState(wrap(snapshot.state()))
			.build();
	}

	static Snapshot fromRecord(SnapshotRecord snapshot) {
		LogPosition position = new LogPosition(snapshot.getIndex(), Term.of(snapshot.getTerm()));
		return new Snapshot(position, LogTime.of(snapshot.getLogTimeMillis()), fromRecord(snapshot.getMembership()),
				unwrap(snapshot.getState()));
	}

}
