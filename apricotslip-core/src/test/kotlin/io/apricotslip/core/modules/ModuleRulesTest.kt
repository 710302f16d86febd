package io.apricotslip.core.modules

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards the dependency rules between modules and packages, which the compiler does not check in full. */
class ModuleRulesTest {
    private val productionClasses: JavaClasses =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("io.apricotslip")

    @ParameterizedTest
    @ValueSource(strings = ["io.apricotslip.rules..", "io.apricotslip.safety.."])
    fun `rules and safety depend on no I-O, concurrency, transport or logging library`(packagePattern: String) {
        noClasses()
            .that()
            .resideInAPackage(packagePattern)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "java.net..",
                "java.nio.file..",
                "java.util.concurrent..",
                "reactor..",
                "io.netty..",
                "io.ktor..",
                "org.tinylog..",
            )
            .check(productionClasses)
    }

    @ParameterizedTest
    @ValueSource(strings = ["io.apricotslip.rules..", "io.apricotslip.safety.."])
    fun `rules and safety do not read the system clock`(packagePattern: String) {
        noClasses()
            .that()
            .resideInAPackage(packagePattern)
            .should()
            .callMethod(System::class.java, "nanoTime")
            .orShould()
            .callMethod(System::class.java, "currentTimeMillis")
            .check(productionClasses)
    }

    @ParameterizedTest
    @CsvSource(
        "api, 'settings,rules,safety,wire,platform,backends,core'",
        "settings, 'rules,safety,wire,platform,backends,core'",
        "rules, 'settings,safety,wire,platform,backends,core'",
        "safety, 'settings,rules,wire,platform,backends,core'",
        "http, 'api,settings,rules,safety,wire,platform,backends,core'",
        "wire, 'settings,rules,safety,platform,backends,core'",
        "platform, 'settings,rules,safety,wire,backends,core'",
        "backends, 'settings,rules,safety,wire,platform,core'",
    )
    fun `a module does not depend on its sibling or outer modules`(module: String, forbidden: String) {
        noClasses()
            .that()
            .resideInAPackage("io.apricotslip.$module..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(*forbidden.split(',').map { "io.apricotslip.$it.." }.toTypedArray())
            .check(productionClasses)
    }

    @Test
    fun `the owner package does not depend on the entry and http packages`() {
        noClasses()
            .that()
            .resideInAPackage("io.apricotslip.core.owner..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.apricotslip.core.entry..", "io.apricotslip.core.http..")
            .check(productionClasses)
    }

    @Test
    fun `only the http and operators packages create HTTP servers`() {
        noClasses()
            .that()
            .resideOutsideOfPackages("io.apricotslip.core.http..", "io.apricotslip.core.operators..")
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("reactor.netty.http.server.HttpServer")
            .check(productionClasses)
    }
}
