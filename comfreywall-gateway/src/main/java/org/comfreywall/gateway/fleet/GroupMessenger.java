package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.group.DelegatedSwitch;
import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.transport.generated.ExpertList;
import org.comfreywall.transport.generated.RankNotice;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.generated.SwitchNotice;
import org.comfreywall.transport.generated.SwitchNoticeReply;

/**
 * Handles and sends the messages between processes about groups: reports of ranks and
 * delegated switches. Used on the event loop.
 */
final class GroupMessenger {

	private static final EventLog LOG = EventLog.of(GroupMessenger.class);

	/**
	 * Maximum number of processes besides the coordinator that a switch is delegated to.
	 */
	private static final int MAX_DEPUTIES = 2;

	/**
	 * Time after which the first deputy takes a switch over; a switch takes a few round
	 * trips once its pass is chosen. The timeout of the second deputy is twice as long,
	 * so that the first one takes over alone.
	 */
	private static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(80);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(200);

	private final FleetSettings settings;

	private final PeerTable peers;

	private final PeerClients clients;

	private final RankObserver observer;

	private final Supplier<Optional<HostPort>> leader;

	private final RankNews news;

	private List<FleetPeer> deputies = List.of();

	GroupMessenger(FleetSettings settings, PeerTable peers, PeerClients clients, RankObserver observer,
			Supplier<Optional<HostPort>> leader, RankNews news) {
		this.settings = settings;
		this.peers = peers;
		this.clients = clients;
		this.observer = Preconditions.notNull(observer, "observer");
		this.leader = leader;
		this.news = news;
	}

	// Only the leader handles the notice; the reply redirects the rank to the leader.
	Result<RankNoticeReply> handleRankNotice(RankNotice notice) {
		Optional<HostPort> address = this.leader.get();
		boolean leads = address.filter(this.settings.address()::equals).isPresent();
		if (leads && notice.getRank() < notice.getSize()) {
			RankReport report = report(notice);
			this.news.addReport(notice.getService(), report, System.nanoTime());
			this.observer.onRankReport(notice.getService(), report, notice.getChosenList());
		}
		RankNoticeReply.Builder reply = RankNoticeReply.newBuilder()
			.setLeader(address.map(HostPort::toString).orElse(""));
		this.peers.livePeers(System.nanoTime()).forEach((peer) -> reply.addMembers(peer.address().toString()));
		return Result.success(reply.addMembers(this.settings.address().toString()).build());
	}

	private static RankReport report(RankNotice notice) {
		OptionalLong held = (notice.getHeldStep() >= 0) ? OptionalLong.of(notice.getHeldStep()) : OptionalLong.empty();
		return new RankReport(notice.getServer(), notice.getGroup(), notice.getEpoch(), notice.getRank(),
				notice.getSize(), notice.getOpen(), notice.getStep(), notice.getMapVersion(),
				notice.getPreparedVersion(), notice.getArmedVersion(), held,
				notice.getLayoutList().stream().map(ExpertList::getExpertsList).toList(),
				(notice.getPace() > 0) ? notice.getPace() : 1);
	}

	Result<SwitchNoticeReply> handleSwitchNotice(SwitchNotice notice) {
		DelegatedSwitch delegatedSwitch = new DelegatedSwitch(notice.getGroup(), notice.getEpoch(), notice.getVersion(),
				notice.getStep(), notice.getHolder(), notice.getServersList());
		if (notice.getEnded()) {
			this.observer.onSwitchEnded(delegatedSwitch);
		}
		else {
			this.observer.onSwitchDelegated(delegatedSwitch, Duration.ofMillis(notice.getPatienceMs()));
		}
		return Result.success(SwitchNoticeReply.getDefaultInstance());
	}

	CompletableFuture<Void> delegate(DelegatedSwitch delegatedSwitch) {
		this.deputies = this.peers.livePeers(System.nanoTime()).stream().limit(MAX_DEPUTIES).toList();
		LOG.info("switch-entrusted", Field.of("group", delegatedSwitch.group()),
				Field.of("version", delegatedSwitch.version()), Field.of("step", delegatedSwitch.step()),
				Field.of("deputies", this.deputies.stream().map(FleetPeer::address).toList()));
		CompletableFuture<Void> completed = new CompletableFuture<>();
		AtomicInteger outstanding = new AtomicInteger(this.deputies.size());
		if (this.deputies.isEmpty()) {
			completed.complete(null);
		}
		for (int i = 0; i < this.deputies.size(); i++) {
			SwitchNotice notice = notice(delegatedSwitch)
				.setPatienceMs((int) TAKEOVER_TIMEOUT.multipliedBy(i + 1L).toMillis())
				.build();
			call(this.deputies.get(i), notice).thenAccept((reached) -> {
				if (reached || outstanding.decrementAndGet() == 0) {
					completed.complete(null);
				}
			});
		}
		return completed;
	}

	void notifyEnded(DelegatedSwitch delegatedSwitch) {
		this.deputies.forEach((deputy) -> call(deputy, notice(delegatedSwitch).setEnded(true).build()));
	}

	private CompletableFuture<Boolean> call(FleetPeer deputy, SwitchNotice notice) {
		return this.clients.findOrOpen(deputy.address())
			.call(RankMethods.SWITCH, notice, CALL_TIMEOUT)
			.thenApply((reply) -> {
				reply.error()
					.ifPresent((error) -> LOG.warn("deputy-not-reached", Field.of("deputy", deputy.address()),
							Field.of("group", notice.getGroup()), Field.of("version", notice.getVersion()),
							Field.of("error", error)));
				return reply.value().isPresent();
			});
	}

	private static SwitchNotice.Builder notice(DelegatedSwitch delegatedSwitch) {
		return SwitchNotice.newBuilder()
			.setGroup(delegatedSwitch.group())
			.setEpoch(delegatedSwitch.epoch())
			.setVersion(delegatedSwitch.version())
			.setStep(delegatedSwitch.step())
			.setHolder(delegatedSwitch.holder())
			.addAllServers(delegatedSwitch.servers());
	}

}
