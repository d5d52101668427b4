package org.comfreywall.transport.control;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseDemand;
import org.comfreywall.transport.generated.LeaseReply;
import org.comfreywall.transport.generated.LeaseShare;

/**
 * Converts lease requests and grants to and from their protobuf messages.
 * <p>
 * Decoding a malformed message throws {@link IllegalArgumentException}.
 */
public final class LeaseCodec {

	private LeaseCodec() {
	}

	/**
	 * Encodes a request.
	 * @param role the role of the grantor that receives the request
	 * @param request the request
	 * @return the protobuf message
	 */
	public static LeaseCall encode(GrantorRole role, LeaseRequest request) {
		LeaseCall.Builder call = LeaseCall.newBuilder()
			.setRole(role.name())
			.setHolder(request.holder().value())
			.setIncarnation(request.incarnation().value())
			.setSequence(request.sequence())
			.setTerm(request.term().value());
		request.demands().forEach((demand) -> call.addDemands(encode(demand)));
		return call.build();
	}

	/**
	 * Decodes a request.
	 * @param call the protobuf message
	 * @return the request
	 */
	public static LeaseRequest decode(LeaseCall call) {
		return new LeaseRequest(InstanceId.of(call.getHolder()), Incarnation.of(call.getIncarnation()),
				call.getSequence(), Term.of(call.getTerm()),
				call.getDemandsList().stream().map(LeaseCodec::decode).toList());
	}

	/**
	 * Encodes a grant.
	 * @param grant the grant
	 * @return the protobuf message
	 */
	public static LeaseReply encode(LeaseGrant grant) {
		LeaseReply.Builder reply = LeaseReply.newBuilder()
			.setTerm(grant.term().value())
			.setHolder(grant.holder().value())
			.setIncarnation(grant.incarnation().value())
			.setSequence(grant.sequence());
		grant.grants()
			.forEach((share) -> reply.addShares(LeaseShare.newBuilder()
				.setAccount(share.account().value())
				.setRequests(share.requests())
				.setTokens(share.tokens())
				.setSlots(share.slots())));
		return reply.build();
	}

	/**
	 * Decodes a grant.
	 * @param reply the protobuf message
	 * @return the grant
	 */
	public static LeaseGrant decode(LeaseReply reply) {
		return new LeaseGrant(Term.of(reply.getTerm()), InstanceId.of(reply.getHolder()),
				Incarnation.of(reply.getIncarnation()), reply.getSequence(),
				reply.getSharesList()
					.stream()
					.map((share) -> new AccountGrant(AccountId.of(share.getAccount()), share.getRequests(),
							share.getTokens(), share.getSlots()))
					.toList());
	}

	private static LeaseDemand encode(AccountDemand demand) {
		return LeaseDemand.newBuilder()
			.setAccount(demand.account().value())
			.setRequests(demand.requests())
			.setTokens(demand.tokens())
			.setSmallestTokens(demand.smallestTokens())
			.setRefundedTokens(demand.refundedTokens())
			.setSlots(demand.slots())
			.setHeldSlots(demand.heldSlots())
			.setHeldTerm(demand.heldTerm().value())
			.setHeldSequence(demand.heldSequence())
			.setUsedSlots(demand.usedSlots())
			.build();
	}

	private static AccountDemand decode(LeaseDemand demand) {
		return new AccountDemand(AccountId.of(demand.getAccount()), demand.getRequests(), demand.getTokens(),
				demand.getSmallestTokens(), demand.getRefundedTokens(), demand.getSlots(), demand.getHeldSlots(),
				Term.of(demand.getHeldTerm()), demand.getHeldSequence(), demand.getUsedSlots());
	}

}
