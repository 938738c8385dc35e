#include "../harness/fleet.hpp"

#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;

constexpr int router_count = 3;
/// Depth of the arrays in the entry of another writer; the entry has about 400 KB.
constexpr std::size_t depth = 200'000;
/// Ends by itself on a machine, and machines, from which the rule is broken.
constexpr int most_ends = 3;
constexpr int most_machines = 2;

constexpr const char* configuration = R"({"Version":1,"Routes":[{"Name":"r-status",
    "Host":"ficu95.example","PathPrefix":"/status/","Type":"safe","TimeoutMs":800,
    "TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":2,"Anonymous":false}],
    "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["key-1"]}]})";

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
    all.run_for(std::chrono::seconds{1});
    if (arguments.has_trouble) {
        all.log.line("another writer adds an entry with a field of another type");
        store.put("servers", "x-other",
                  R"({"Service":"desk","Zone":)" + std::string(depth, '[') +
                      std::string(depth, ']') + "}");
    }
    std::map<int, int> ends;
    int served = 0;
    int lost = 0;
    constexpr int rounds = 100;
    for (int i = 0; i < rounds; ++i) {
        for (int n = 1; n <= router_count; ++n) {
            const auto attempt = "a-" + std::to_string(i) + "-" + std::to_string(n);
            const auto answer = all.send_and_wait(n, "GET /status/x", attempt, "key-1");
            served += answer.status == 200 ? 1 : 0;
            lost += answer.is_complete ? 0 : 1;
        }
        for (auto& [number, process] : all.routers) {
            ends[number] += process->exit_code() >= 0 ? 1 : 0;
        }
        all.restart_ended();
        all.run_for(std::chrono::milliseconds{100});
    }
    int machines = 0;
    for (const auto& [number, count] : ends) {
        all.log.line("router " + std::to_string(number) + " ended by itself " +
                     std::to_string(count) + " times");
        machines += count >= most_ends ? 1 : 0;
    }
    all.log.line("served " + std::to_string(served) + ", without an answer " +
                 std::to_string(lost));
    return machines >= most_machines ? verdict::broken : verdict::held;
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
