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
 * Advises when a group of a service should change between prefill and decode.
 * <p>
 * A change is advised if the utilisation of the busier role is high, the change lowers
 * the higher of the two utilisations by a minimum, and both conditions held for several
 * consecutive windows. The role that loses a group keeps at least one.
 */
public final class RoleAdvisor {

	private final ServiceId service;

	private final RoleSettings settings;

	private final DecisionListener listener;

	private double prefillDemand = Double.NaN;

	private double decodeDemand = Double.NaN;

	private GroupRole favouredRole;

	private int windowsFavoured;

	private int windowsSinceChange;

	/**
	 * Creates an advisor.
	 * @param service the service that the groups serve
	 * @param settings the settings
	 * @param listener receives a record of each advised change
	 */
	public RoleAdvisor(ServiceId service, RoleSettings settings, DecisionListener listener) {
		this.service = Preconditions.notNull(service, "service");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.windowsSinceChange = settings.windowsBetweenChanges();
	}

	/**
	 * Adds the loads of one window.
	 * @param prefill the load of the prefill groups
	 * @param decode the load of the decode groups
	 * @return the advised change, or empty to keep the current roles
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
		RoleLoad busierLoad = prefillBusier ? smoothPrefill : smoothDecode;
		RoleLoad donor = prefillBusier ? smoothDecode : smoothPrefill;
		countWindow(isWorthwhile(busierLoad, donor) ? busier : null);
		return advise(busierLoad, donor);
	}

	private double smooth(double average, double demand) {
		return Double.isNaN(average) ? demand : average + this.settings.demandWeight() * (demand - average);
	}

	private boolean isWorthwhile(RoleLoad busierLoad, RoleLoad donor) {
		if (donor.groups() < 2 || busierLoad.utilisation() < this.settings.highUtilisation()) {
			return false;
		}
		double after = Math.max(busierLoad.withGroups(1).utilisation(), donor.withGroups(-1).utilisation());
		return busierLoad.utilisation() - after >= this.settings.leastGain();
	}

	private void countWindow(GroupRole role) {
		this.windowsFavoured = (role != null && role == this.favouredRole) ? this.windowsFavoured + 1 : 1;
		this.favouredRole = role;
	}

	private Optional<RoleChange> advise(RoleLoad busierLoad, RoleLoad donor) {
		if (this.favouredRole == null || this.windowsFavoured < this.settings.windowsToChange()
				|| this.windowsSinceChange < this.settings.windowsBetweenChanges()) {
			return Optional.empty();
		}
		GroupRole from = this.favouredRole.other();
		String reason = String.format(Locale.ROOT,
				"%s utilisation %.2f, %s utilisation %.2f; %.2f and %.2f after the change", text(this.favouredRole),
				busierLoad.utilisation(), text(from), donor.utilisation(), busierLoad.withGroups(1).utilisation(),
				donor.withGroups(-1).utilisation());
		RoleChange change = new RoleChange(from, this.favouredRole, reason);
		this.windowsSinceChange = 0;
		this.windowsFavoured = 0;
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, this.service.toString(), "change-role",
				Field.of("from", text(from)), Field.of("to", text(change.to())), Field.of("reason", reason)));
		return Optional.of(change);
	}

	private static String text(GroupRole role) {
		return role.name().toLowerCase(Locale.ROOT);
	}

}
