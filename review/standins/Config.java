package review;

/** The desired state that the operator writes. */
final class Config {
    static final String HOST = "shop.example";

    private Config() {
    }

    static String route(String name, String prefix, String type, String service, int attempts, boolean resume, int targetMillis, int gapMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"type\":\"" + type
            + "\",\"timeoutMs\":" + (type.equals("streaming") ? 15_000 : 2_500) + ",\"targetLatencyMs\":" + targetMillis
            + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts + ",\"sessionAffinity\":"
            + type.equals("streaming") + ",\"allowResume\":" + resume + ",\"targetGapMs\":" + gapMillis + "}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kvCapacity\":141787,\"kvBytes\":327680,\"linkMbps\":740000.0,\"models\":[{\"name\":\"m0\","
            + "\"weightsMb\":72700.0,\"loadS\":0.61,\"adapters\":3000,\"adapterMb\":66.0,\"warmS\":0.6,\"diskS\":0.78}],"
            + "\"weightsMb\":75500.0,\"adapterSlots\":20,\"loadsPerS\":2.2}}";
    }

    static String state(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
