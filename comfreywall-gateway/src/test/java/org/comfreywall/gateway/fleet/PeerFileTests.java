package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerFile}.
 */
class PeerFileTests {

	private static final HostPort A = new HostPort("10.0.0.1", 1);

	private static final HostPort B = new HostPort("10.0.0.2", 1);

	@TempDir
	private Path folder;

	@Test
	void savesAddressesForTheNextStart() {
		new PeerFile(this.folder).save(List.of(B, A));
		assertThat(new PeerFile(this.folder).load()).containsExactly(A, B);
	}

	@Test
	void anEmptyFolderContainsNoAddresses() {
		assertThat(new PeerFile(this.folder).load()).isEmpty();
	}

	@Test
	void anEmptyListDoesNotReplaceTheSavedAddresses() {
		PeerFile file = new PeerFile(this.folder);
		file.save(List.of(A));
		file.save(List.of());
		assertThat(new PeerFile(this.folder).load()).containsExactly(A);
	}

	@Test
	void aDamagedLineIsSkipped() throws IOException {
		Files.writeString(this.folder.resolve("PEERS"), "10.0.0.1:1\nnonsense\n10.0");
		assertThat(new PeerFile(this.folder).load()).containsExactly(A);
	}

	@Test
	void aFolderThatCannotBeWrittenIsIgnored() {
		PeerFile file = new PeerFile(this.folder.resolve("missing"));
		file.save(List.of(A));
		assertThat(file.load()).isEmpty();
	}

}
