package org.comfreywall.entry.prefix;

import java.time.Duration;
import java.util.Random;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link PrefixIndex}.
 */
class PrefixIndexTests {

	private static final BackendServerId SERVER = BackendServerId.of("w1");

	private static final Incarnation INCARNATION = Incarnation.of(1);

	private static final PromptChain CHAIN = PromptChain.of(new long[] { 11, 12, 13, 14 }, 100);

	private final PrefixSettings settings = new PrefixSettings(100, Duration.ofSeconds(100), Duration.ofSeconds(10),
			0.9, 0.5, Duration.ofSeconds(2));

	private final PrefixIndex index = new PrefixIndex(this.settings);

	@BeforeEach
	void announce() {
		this.index.addServer(SERVER, INCARNATION);
	}

	@Test
	void countsOnlyTheUnbrokenPrefix() {
		this.index.onEvent(stored(1, 11, 12, 14), 0);
		assertThat(this.index.match(CHAIN, 0).cachedTokens(SERVER)).isEqualTo(200);
	}

	@Test
	void probabilityHalvesAtTheHalfLife() {
		this.index.onEvent(stored(1, 11), 0);
		assertThat(tokens(Duration.ofSeconds(100).toNanos())).isCloseTo(50, within(0.01));
	}

	@Test
	void sentPromptIsAssumedToBeCached() {
		this.index.recordSentPrompt(SERVER, CHAIN, 0);
		assertThat(tokens(0)).isCloseTo(360, within(0.01));
	}

	@Test
	void removedBlocksNoLongerMatch() {
		this.index.onEvent(stored(1, 11, 12), 0);
		this.index.onEvent(new BlocksRemoved(SERVER, INCARNATION, 2, BlockHashes.of(12)), 0);
		assertThat(tokens(0)).isEqualTo(100);
	}

	@Test
	void eventsOfAnotherIncarnationHaveNoEffect() {
		this.index.onEvent(new BlocksStored(SERVER, Incarnation.of(2), 1, BlockHashes.of(11)), 0);
		assertThat(tokens(0)).isZero();
	}

	@Test
	void newIncarnationHoldsNoBlocks() {
		this.index.onEvent(stored(1, 11), 0);
		this.index.addServer(SERVER, Incarnation.of(2));
		assertThat(tokens(0)).isZero();
	}

	@Test
	void locationsStayWithinTheMaximum() {
		Random random = new Random(7);
		for (int i = 1; i <= 1000; i++) {
			this.index.onEvent(stored(i, random.nextInt(500), random.nextInt(500)), i);
			assertThat(this.index.locationCount()).isBetween(0, 100);
		}
	}

	private double tokens(long now) {
		return this.index.match(CHAIN, now).cachedTokens(SERVER);
	}

	private static BlocksStored stored(long sequence, long... hashes) {
		return new BlocksStored(SERVER, INCARNATION, sequence, BlockHashes.of(hashes));
	}

	@Nested
	class WhenAnEventIsMissing {

		private final PrefixIndex index = PrefixIndexTests.this.index;

		@BeforeEach
		void storeFirstBlock() {
			this.index.onEvent(stored(1, 11), 0);
		}

		@Test
		void requestsASnapshotOncePerInterval() {
			assertThat(this.index.onEvent(stored(3, 12), 0)).contains(new ResyncRequest(SERVER));
			assertThat(this.index.onEvent(stored(4, 13), 1)).isEmpty();
			assertThat(this.index.onEvent(stored(5, 14), Duration.ofSeconds(2).toNanos())).isPresent();
		}

		@Test
		void reducesTheProbabilitiesOfTheServer() {
			this.index.onEvent(stored(3, 12), 0);
			assertThat(tokens(0)).isCloseTo(100, within(0.01));
		}

		@Test
		void snapshotReplacesEarlierBlocksAndKeepsLaterEvents() {
			this.index.onEvent(stored(3, 12), 0);
			this.index.onEvent(stored(5, 13), 0);
			this.index.onEvent(new CacheSnapshot(SERVER, INCARNATION, 4, BlockHashes.of(11, 12)), 0);
			assertThat(this.index.hasGap(SERVER)).isFalse();
			assertThat(tokens(0)).isEqualTo(300);
		}

		@Test
		void snapshotFromBeforeTheGapDoesNotCloseIt() {
			this.index.onEvent(stored(3, 12), 0);
			this.index.onEvent(new CacheSnapshot(SERVER, INCARNATION, 1, BlockHashes.of(11)), 0);
			assertThat(this.index.hasGap(SERVER)).isTrue();
		}

	}

}
