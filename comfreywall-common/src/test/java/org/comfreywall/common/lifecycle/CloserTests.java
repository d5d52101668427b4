package org.comfreywall.common.lifecycle;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link Closer}.
 */
class CloserTests {

	private final List<String> closed = new ArrayList<>();

	private final Closer closer = new Closer();

	@Test
	void closesInReverseOrder() throws Exception {
		this.closer.register(() -> this.closed.add("first"));
		this.closer.register(() -> this.closed.add("second"));
		this.closer.close();
		assertThat(this.closed).containsExactly("second", "first");
	}

	@Test
	void closesRemainingResourcesAfterFailure() {
		this.closer.register(() -> this.closed.add("first"));
		this.closer.register(() -> {
			throw new IllegalStateException("broken");
		});
		assertThatIllegalStateException().isThrownBy(this.closer::close).withMessage("broken");
		assertThat(this.closed).containsExactly("first");
	}

}
