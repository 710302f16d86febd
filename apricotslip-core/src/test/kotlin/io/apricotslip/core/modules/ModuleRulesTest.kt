package io.apricotslip.core.modules

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class ModuleRulesTest {
    private val all: JavaClasses =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("io.apricotslip")

    @ParameterizedTest
    @ValueSource(strings = ["io.apricotslip.rules..", "io.apricotslip.safety.."])
    fun `decisions do no I-O and know no transport`(domain: String) {
        noClasses()
            .that()
            .resideInAPackage(domain)
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
            .check(all)
    }

    @ParameterizedTest
    @ValueSource(strings = ["io.apricotslip.rules..", "io.apricotslip.safety.."])
    fun `decisions read no clock`(domain: String) {
        noClasses()
            .that()
            .resideInAPackage(domain)
            .should()
            .callMethod(System::class.java, "nanoTime")
            .orShould()
            .callMethod(System::class.java, "currentTimeMillis")
            .check(all)
    }

    @ParameterizedTest
    @CsvSource(
        "api, 'settings,rules,safety,wire,platform,backends,core'",
        "settings, 'rules,safety,wire,platform,backends,core'",
        "rules, 'settings,safety,wire,platform,backends,core'",
        "safety, 'settings,rules,wire,platform,backends,core'",
        "wire, 'settings,rules,safety,platform,backends,core'",
        "platform, 'settings,rules,safety,wire,backends,core'",
        "backends, 'settings,rules,safety,wire,platform,core'",
    )
    fun `a module depends inward only`(module: String, others: String) {
        noClasses()
            .that()
            .resideInAPackage("io.apricotslip.$module..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(*others.split(',').map { "io.apricotslip.$it.." }.toTypedArray())
            .check(all)
    }

    @Test
    fun `the owner side does not know the entry side`() {
        noClasses()
            .that()
            .resideInAPackage("io.apricotslip.core.owner..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.apricotslip.core.entry..", "io.apricotslip.core.http..")
            .check(all)
    }

    @Test
    fun `only the http and operators packages serve HTTP`() {
        noClasses()
            .that()
            .resideOutsideOfPackages("io.apricotslip.core.http..", "io.apricotslip.core.operators..")
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("reactor.netty.http.server.HttpServer")
            .check(all)
    }
}
