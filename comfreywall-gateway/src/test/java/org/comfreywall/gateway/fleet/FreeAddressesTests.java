package org.comfreywall.gateway.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreeAddressesTests {

	@Test
	void addressesThatAreChosenTogetherDiffer() throws Exception {
		assertThat(FreeAddresses.choose("127.88.0.1", 1000)).doesNotHaveDuplicates();
	}

}
