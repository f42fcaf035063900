package io.sequoiawheel.core.history

/** The guarantees of the system; [meaning] is one sentence for reports. */
enum class Promise(
    val meaning: String,
) {
    P1("Every token of a generation is delivered once, in order, from one generation."),
    P2("A backend server that has just started receives no more load than it can handle."),
    P3("An availability zone taken out of service receives no new work after a few seconds."),
    P4("A caller receives the complete answer to its own request."),
    P5("A rejection that says not run is true."),
    P6("A non-idempotent call runs at most once."),
    P7("A leaving backend server receives no new work after a few seconds."),
    P8("A graceful shutdown interrupts no request."),
    P9("An accepted configuration is in force everywhere within seconds and never reverts."),
}
