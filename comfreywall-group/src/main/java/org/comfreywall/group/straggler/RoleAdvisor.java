package org.comfreywall.group.straggler;

import java.util.Locale;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Advises when a group of a service changes between prefill and decode.
 * <p>
 * A group changes if the busier role is short of capacity, the change lowers the higher
 * of the two utilisations by enough, and both held for several windows. The role that
 * gives a group keeps one at least.
 */
public final class RoleAdvisor {

	private final ServiceId service;

	private final RoleSettings settings;

	private final DecisionListener listener;

	private double prefillDemand = Double.NaN;

	private double decodeDemand = Double.NaN;

	private GroupRole wanted;

	private int windowsWanted;

	private int windowsSinceChange;

	/**
	 * Creates an advisor.
	 * @param service the service whose groups share the work
	 * @param settings the settings
	 * @param listener receives a record of each advice
	 */
	public RoleAdvisor(ServiceId service, RoleSettings settings, DecisionListener listener) {
		this.service = Preconditions.notNull(service, "service");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.windowsSinceChange = settings.windowsBetweenChanges();
	}

	/**
	 * Takes in the loads of one window.
	 * @param prefill the load of the prefill groups
	 * @param decode the load of the decode groups
	 * @return the change to make, or empty to leave the roles as they are
	 */
	public Optional<RoleChange> observe(RoleLoad prefill, RoleLoad decode) {
		Preconditions.notNull(prefill, "prefill");
		Preconditions.notNull(decode, "decode");
		this.prefillDemand = smooth(this.prefillDemand, prefill.demand());
		this.decodeDemand = smooth(this.decodeDemand, decode.demand());
		this.windowsSinceChange++;
		RoleLoad smoothPrefill = new RoleLoad(prefill.groups(), this.prefillDemand);
		RoleLoad smoothDecode = new RoleLoad(decode.groups(), this.decodeDemand);
		boolean prefillBusier = smoothPrefill.utilisation() >= smoothDecode.utilisation();
		GroupRole busier = prefillBusier ? GroupRole.PREFILL : GroupRole.DECODE;
		RoleLoad needy = prefillBusier ? smoothPrefill : smoothDecode;
		RoleLoad giver = prefillBusier ? smoothDecode : smoothPrefill;
		count(isWorthwhile(needy, giver) ? busier : null);
		return advise(needy, giver);
	}

	private double smooth(double present, double demand) {
		return Double.isNaN(present) ? demand : present + this.settings.demandWeight() * (demand - present);
	}

	private boolean isWorthwhile(RoleLoad needy, RoleLoad giver) {
		if (giver.groups() < 2 || needy.utilisation() < this.settings.highUtilisation()) {
			return false;
		}
		double after = Math.max(needy.withGroups(1).utilisation(), giver.withGroups(-1).utilisation());
		return needy.utilisation() - after >= this.settings.leastGain();
	}

	private void count(GroupRole role) {
		this.windowsWanted = (role != null && role == this.wanted) ? this.windowsWanted + 1 : 1;
		this.wanted = role;
	}

	private Optional<RoleChange> advise(RoleLoad needy, RoleLoad giver) {
		if (this.wanted == null || this.windowsWanted < this.settings.windowsToChange()
				|| this.windowsSinceChange < this.settings.windowsBetweenChanges()) {
			return Optional.empty();
		}
		GroupRole from = this.wanted.other();
		String reason = String.format(Locale.ROOT, "%s is used to %.2f and %s to %.2f; after the change %.2f and %.2f",
				text(this.wanted), needy.utilisation(), text(from), giver.utilisation(),
				needy.withGroups(1).utilisation(), giver.withGroups(-1).utilisation());
		RoleChange change = new RoleChange(from, this.wanted, reason);
		this.windowsSinceChange = 0;
		this.windowsWanted = 0;
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, this.service.toString(), "change-role",
				Field.of("from", text(from)), Field.of("to", text(change.to())), Field.of("reason", reason)));
		return Optional.of(change);
	}

	private static String text(GroupRole role) {
		return role.name().toLowerCase(Locale.ROOT);
	}

}
