package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.time.ManualClock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.entry.route.ServerAnnounced;
import org.comfreywall.entry.route.ServerProfile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoutingFeedback}.
 */
class RoutingFeedbackTests {

	private static final ServiceId SERVICE = ServiceId.of("booking");

	private static final BackendServerId SERVER = BackendServerId.of("booking-1");

	private static final FailureDomainId DOMAIN = FailureDomainId.of("local");

	private static final RequestId REQUEST = RequestId.of("r1");

	private final RouterRegistry routers = new RouterRegistry(InstanceId.of("entry-1"), DOMAIN,
			RandomGeneratorFactory.of("L64X128MixRandom").create(1), new ManualClock(), DecisionListener.NONE);

	private final RoutingFeedback routingFeedback = new RoutingFeedback(this.routers);

	@BeforeEach
	void announce() {
		this.routers.dispatch(SERVICE, new ServerAnnounced(SERVER, Incarnation.of(1), DOMAIN, ServerProfile.DEFAULT));
	}

	@Test
	void countsSentAttemptAsInFlightUntilItEnds() {
		assertThat(this.routingFeedback.choose(request(), Set.of())).isPresent();
		this.routingFeedback.reportSent(new AttemptId(REQUEST, 1));
		assertThat(this.routers.inFlight(SERVICE, SERVER)).isEqualTo(1);
		this.routingFeedback.reportEnded(REQUEST, true);
		assertThat(this.routers.inFlight(SERVICE, SERVER)).isZero();
	}

	@Test
	void endsEarlierAttemptWhenRequestIsRoutedAgain() {
		this.routingFeedback.choose(request(), Set.of());
		this.routingFeedback.reportSent(new AttemptId(REQUEST, 1));
		this.routingFeedback.choose(request(), Set.of());
		this.routingFeedback.reportSent(new AttemptId(REQUEST, 2));
		assertThat(this.routers.inFlight(SERVICE, SERVER)).isEqualTo(1);
	}

	private static CallerRequest request() {
		return new CallerRequest(REQUEST, AccountId.of("farm"), SERVICE, "GET", "/booking", "", Bytes.EMPTY, true, true,
				Optional.empty(), PriorityClass.STANDARD, Duration.ofSeconds(1), 0, 0);
	}

}
