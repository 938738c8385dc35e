#include "../harness/fleet.hpp"

#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;
using namespace std::chrono_literals;

constexpr int router_count = 3;
/// `ConfigApplyMs` of the settings.
constexpr duration config_apply = 2s;

std::string configuration(int version, const std::string& tenants)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"r-booking","Host":"ficu95.example","PathPrefix":"/booking/",
    "Type":"unsafe","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"desk",
    "MaxAttempts":1,"Anonymous":false}],
    "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[)" +
           tenants + "]}";
}

verdict run(const case_arguments& arguments)
{
    const std::string tenant = R"({"Name":"hule930","ApiKeys":["key-1","key-2"]})";
    fleet all{arguments.program, arguments.dir, arguments.record};
    store store{all.loop, all.store_address};
    replica first{all.loop, all.log, "i-1", "desk", all.address(201, replica_port)};
    replica second{all.loop, all.log, "i-2", "desk", all.address(202, replica_port)};
    store.put("config", "main", configuration(1, tenant));
    store.put("servers", first.id(), first.registration());
    store.put("servers", second.id(), second.registration());
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    if (!all.wait_until_ready(router_count, 15s)) {
        return verdict::not_run;
    }
    all.run_for(4s);
    int sent = 0;
    int wrong = 0;
    const auto send_all = [&](const std::string& key, bool is_allowed) {
        for (int n = 1; n <= router_count; ++n) {
            const auto attempt = "a-" + std::to_string(++sent);
            all.send_and_wait(n, "POST /booking/x", attempt, key);
            const bool has_run = first.runs().contains(attempt) || second.runs().contains(attempt);
            if (has_run != is_allowed) {
                ++wrong;
                all.log.line("wrong: " + attempt + (has_run ? " has run" : " has not run"));
            }
        }
    };
    send_all("key-1", true);
    send_all("never-held", false);
    if (wrong > 0) {
        return verdict::not_run;
    }
    if (arguments.has_trouble) {
        all.log.line("version 2 takes away the only tenant and its keys; acknowledged");
        store.put("config", "main", configuration(2, ""));
    }
    else {
        all.log.line("version 2 changes nothing; acknowledged");
        store.put("config", "main", configuration(2, tenant));
    }
    all.run_for(config_apply + 500ms);
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        send_all("key-1", !arguments.has_trouble);
        send_all("never-held", false);
    }
    all.log.line("requests handled wrongly: " + std::to_string(wrong));
    return wrong > 0 ? verdict::broken : verdict::held;
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
