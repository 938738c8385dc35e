#include "../harness/fleet.hpp"

#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;
using namespace std::chrono_literals;

constexpr int router_count = 3;
/// Clients of the site `pedaalwacht`, each with one request at a time, spread over the routers.
constexpr int clients_per_router = 26;
constexpr int bursts = 9;
/// `MemoryMb` of the settings, in the larger reading of the unit.
constexpr std::uint64_t memory_limit = 260ULL * 1'048'576;
/// `MaxBodyBytes` of the configuration.
constexpr std::size_t max_body = 4'194'304;
constexpr std::size_t usual_body = 600;
/// Ends by itself on a machine, and machines, from which the rule is broken.
constexpr int most_ends = 3;
constexpr int most_machines = 2;

constexpr const char* configuration = R"({"Version":1,"Routes":[{"Name":"r-booking",
    "Host":"ficu95.example","PathPrefix":"/booking/","Type":"unsafe","TimeoutMs":1500,
    "TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":1,"Anonymous":false}],
    "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["key-1"]}]})";

verdict run(const case_arguments& arguments)
{
    fleet all{arguments.program, arguments.dir, arguments.record};
    store store{all.loop, all.store_address};
    replica first{all.loop, all.log, "i-1", "desk", all.address(201, replica_port)};
    replica second{all.loop, all.log, "i-2", "desk", all.address(202, replica_port)};
    replica third{all.loop, all.log, "i-3", "desk", all.address(203, replica_port)};
    store.put("config", "main", configuration);
    for (const auto* it : {&first, &second, &third}) {
        store.put("servers", it->id(), it->registration());
    }
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    const std::string body(arguments.has_trouble ? max_body : usual_body, 'x');
    std::map<int, int> ends;
    std::map<int, std::uint64_t> peaks;
    int sent = 0;
    for (int burst = 0; burst < bursts; ++burst) {
        if (!all.wait_until_ready(router_count, 15s)) {
            return verdict::not_run;
        }
        all.log.line("burst of clients");
        std::vector<outgoing_id> requests;
        for (int i = 0; i < clients_per_router; ++i) {
            for (int n = 1; n <= router_count; ++n) {
                const auto attempt = "a-" + std::to_string(++sent);
                requests.push_back(all.send(n, "POST /booking/x", attempt, "key-1", body));
            }
        }
        const auto is_done = [&] {
            for (auto& [number, router] : all.routers) {
                peaks[number] = std::max(peaks[number], router->memory());
                if (router->memory() > memory_limit) {
                    all.log.line("platform: router " + std::to_string(number) +
                                 " exceeds MemoryMb and is killed");
                    ++ends[number];
                    router->kill();
                }
            }
            return std::all_of(requests.begin(), requests.end(),
                               [&](auto id) { return all.answers[id].has_ended; });
        };
        all.run_until(is_done, 6s);
        int served = 0;
        int lost = 0;
        for (const auto id : requests) {
            served += all.answers[id].status == 200 ? 1 : 0;
            lost += all.answers[id].is_complete ? 0 : 1;
        }
        all.log.line("served " + std::to_string(served) + " of " + std::to_string(requests.size()) +
                     ", without an answer " + std::to_string(lost));
        all.restart_ended();
        all.run_for(1s);
    }
    int machines = 0;
    for (const auto& [number, peak] : peaks) {
        all.log.line("router " + std::to_string(number) + ": most memory " +
                     std::to_string(peak / 1'000'000) + " MB, killed " +
                     std::to_string(ends[number]) + " times");
        machines += ends[number] >= most_ends ? 1 : 0;
    }
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
