package io.apricotslip.settings

import java.util.Properties

/** Version of this build, which Maven writes to the resource `apricotslip/build.properties`. */
public object BuildVersion {
    private const val RESOURCE = "/apricotslip/build.properties"

    /** Version of the Maven project, such as `0.1.0`. */
    public val value: String by lazy(::read)

    private fun read(): String {
        val properties = Properties()
        checkNotNull(BuildVersion::class.java.getResourceAsStream(RESOURCE)) { "resource $RESOURCE is missing" }
            .use(properties::load)
        return properties.getProperty("version")
    }
}
