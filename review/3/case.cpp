#include "../harness/fleet.hpp"

#include <cstdlib>
#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;

constexpr int router_count = 3;
/// `RecoverS` of the settings.
constexpr duration recover_time = std::chrono::seconds{12};

constexpr const char* configuration = R"({"Version":1,"Routes":[{"Name":"r-status",
    "Host":"ficu95.example","PathPrefix":"/status/","Type":"safe","TimeoutMs":800,
    "TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":2,"Anonymous":false}],
    "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["key-1"]}]})";

/// Returns the entry of another writer. VARIANT selects what cannot be read: `bytes` (not UTF-8),
/// `escape` (half of a surrogate pair) or `number` (larger than a double).
std::string odd_entry()
{
    const auto* variant = std::getenv("VARIANT"); // NOLINT(concurrency-mt-unsafe)
    const std::string name = variant == nullptr ? "bytes" : variant;
    std::string entry = R"({"Service":"desk","State":"ready","Note":)";
    if (name == "number") {
        return entry + "1e400}";
    }
    return entry + (name == "escape" ? R"("\ud800"})" : "\"\xff\xfe\"}");
}

/// Sends requests to all routers in turn for a while; returns the share that is served.
double served_share(fleet& all, const std::string& name, duration time)
{
    const auto until = all.loop.now() + time;
    int sent = 0;
    int served = 0;
    while (all.loop.now() < until) {
        for (int n = 1; n <= router_count; ++n) {
            const auto attempt = name + "-" + std::to_string(++sent);
            served += all.send_and_wait(n, "GET /status/x", attempt, "key-1").status == 200 ? 1 : 0;
        }
        all.run_for(std::chrono::milliseconds{50});
    }
    return static_cast<double>(served) / sent;
}

verdict run(const case_arguments& arguments)
{
    fleet all{arguments.program, arguments.dir, arguments.record};
    store store{all.loop, all.store_address};
    replica first{all.loop, all.log, "i-1", "desk", all.address(201, replica_port)};
    replica second{all.loop, all.log, "i-2", "desk", all.address(202, replica_port)};
    store.put("config", "main", configuration);
    store.put("servers", first.id(), first.registration());
    store.put("servers", second.id(), second.registration());
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    if (!all.wait_until_ready(router_count, std::chrono::seconds{15})) {
        return verdict::not_run;
    }
    if (arguments.has_trouble) {
        all.log.line("another writer adds an entry that cannot be read");
        store.put("servers", "x-other", odd_entry());
    }
    const auto before = served_share(all, "before", std::chrono::seconds{3});
    all.log.line("final fault: all processes are killed");
    for (auto& [number, process] : all.routers) {
        process->kill();
    }
    all.run_for(std::chrono::seconds{1});
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    all.run_for(recover_time);
    const auto after = served_share(all, "after", std::chrono::seconds{8});
    all.log.line("share served before the fault " + std::to_string(before) +
                 ", later than RecoverS after it " + std::to_string(after));
    constexpr double quarter = 0.25;
    if (before < quarter) {
        return verdict::not_run;
    }
    return after < quarter ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(run(read_arguments({argv, argv + argc})));
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(verdict::not_run);
    }
}
