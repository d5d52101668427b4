package org.comfreywall.daemon;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Test;

/**
 * Tests the layering of the modules: each layer depends only on lower layers.
 */
class LayeringTests {

	private static final String[] CORES = { "org.comfreywall.entry..", "org.comfreywall.sidecar..",
			"org.comfreywall.group..", "org.comfreywall.control.." };

	private final JavaClasses classes = new ClassFileImporter().importPackages("org.comfreywall");

	@Test
	void modulesDependOnlyOnLowerLayers() {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("common")
			.definedBy("org.comfreywall.common..")
			.layer("cores")
			.definedBy(CORES)
			.layer("transport")
			.definedBy("org.comfreywall.transport..")
			.layer("daemon")
			.definedBy("org.comfreywall.daemon..")
			.whereLayer("daemon")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("transport")
			.mayOnlyBeAccessedByLayers("daemon")
			.whereLayer("cores")
			.mayOnlyBeAccessedByLayers("transport", "daemon")
			.withOptionalLayers(true)
			.check(this.classes);
	}

	@Test
	void coresUseNoNetworkLibrary() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(CORES)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..", "io.vertx..", "java.net..")
			.allowEmptyShould(true)
			.check(this.classes);
	}

}
