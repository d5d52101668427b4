package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link InFlightExchange}.
 */
class InFlightExchangeTests {

	private final InFlightExchange sender = new InFlightExchange();

	private final InFlightExchange receiver = new InFlightExchange();

	@Test
	void sendsOnlyChangesBetweenFullUpdates() {
		this.sender.numbersToSend(true, Map.of("s1", 2, "s2", 1));
		assertThat(this.sender.numbersToSend(false, Map.of("s1", 2, "s3", 4))).isEqualTo(Map.of("s2", 0, "s3", 4));
		assertThat(this.sender.numbersToSend(false, Map.of("s1", 2, "s3", 4))).isEmpty();
		assertThat(this.sender.numbersToSend(true, Map.of("s1", 2))).isEqualTo(Map.of("s1", 2));
	}

	@Test
	void theReceiverKnowsTheSendersNumbers() {
		Random random = new Random(5);
		Map<String, Integer> present = new HashMap<>();
		for (int i = 0; i < 1000; i++) {
			int requests = random.nextInt(4);
			present.merge("s" + random.nextInt(20), requests, (before, now) -> now);
			present.values().removeIf((number) -> number == 0);
			boolean full = i % 10 == 0;
			assertThat(this.receiver.apply("a", full, this.sender.numbersToSend(full, present))).isEqualTo(present);
		}
	}

	@Test
	void aLostChangeIsCorrectedByTheNextFullUpdate() {
		this.receiver.apply("a", true, this.sender.numbersToSend(true, Map.of("s1", 2)));
		this.sender.numbersToSend(false, Map.of("s2", 1));
		assertThat(this.receiver.apply("a", true, this.sender.numbersToSend(true, Map.of("s2", 1))))
			.isEqualTo(Map.of("s2", 1));
	}

	@Test
	void entriesThatAreGoneAreForgotten() {
		this.receiver.apply("a", true, Map.of("s1", 2));
		this.receiver.apply("b", true, Map.of("s1", 3));
		this.receiver.retain(Set.of("b"));
		assertThat(this.receiver.apply("a", false, Map.of())).isEmpty();
		assertThat(this.receiver.apply("b", false, Map.of())).isEqualTo(Map.of("s1", 3));
	}

}
