package org.comfreywall.daemon.admin;

import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.control.generated.HistoryRecord;
import org.comfreywall.control.state.LogTime;
import org.comfreywall.transport.generated.MemberInfo;

/**
 * Builds the JSON bodies of admin responses.
 */
final class AdminJson {

	private AdminJson() {
	}

	static JsonObject error(OperationError error) {
		JsonObject json = new JsonObject().put("code", error.code().name())
			.put("step", error.step().name())
			.put("message", error.message());
		error.peer().map(InstanceId::value).ifPresent((peer) -> json.put("peer", peer));
		return new JsonObject().put("error", json);
	}

	static JsonObject decisions(List<DecisionRecord> records) {
		JsonArray all = new JsonArray();
		records.forEach((record) -> all.add(decision(record)));
		return new JsonObject().put("records", all);
	}

	static JsonObject history(List<HistoryRecord> changes) {
		JsonArray all = new JsonArray();
		changes.forEach((change) -> all.add(new JsonObject().put("revision", change.getRevision())
			.put("changeId", change.getChangeId())
			.put("author", change.getAuthor())
			.put("reason", change.getReason())
			.put("time", LogTime.of(change.getLogTimeMillis()).toString())));
		return new JsonObject().put("changes", all);
	}

	static JsonArray members(List<MemberInfo> members) {
		JsonArray all = new JsonArray();
		members.forEach((member) -> all.add(member(member)));
		return all;
	}

	private static JsonObject member(MemberInfo member) {
		JsonObject json = new JsonObject().put("name", member.getInstance())
			.put("incarnation", member.getIncarnation())
			.put("failureDomain", member.getFailureDomain())
			.put("roles", new JsonArray(List.copyOf(member.getRolesList())))
			.put("state", member.getLeaving() ? "leaving" : "live")
			.put("revision", member.getRevision());
		if (!member.getBackendServer().isEmpty()) {
			json.put("backendServer", member.getBackendServer()).put("service", member.getService());
		}
		return json;
	}

	private static JsonObject decision(DecisionRecord record) {
		JsonArray inputs = new JsonArray();
		record.inputs()
			.forEach((field) -> inputs.add(new JsonObject().put("key", field.key()).put("value", field.value())));
		return new JsonObject().put("kind", record.kind().name())
			.put("subject", record.subject())
			.put("result", record.result())
			.put("inputs", inputs);
	}

}
