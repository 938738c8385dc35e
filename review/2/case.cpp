#include "../harness/fleet.hpp"

#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;
using namespace std::chrono_literals;

constexpr int router_count = 3;
constexpr int event_count = 40;
constexpr duration booking_timeout = 800ms;
constexpr duration chat_timeout = 4s;
/// Time after a route's timeout at which an answer is missed.
constexpr duration allowed_delay = 500ms;
/// Requests without an answer by then from which the rule is broken, if they are over a quarter.
constexpr int least_missed = 8;
constexpr int least_missed_share = 4;
constexpr duration length = 30s;
/// Between two chats, and between two bookings, over all routers.
constexpr duration chat_interval = 15ms;
constexpr duration booking_interval = 37ms;

constexpr const char* configuration = R"({"Version":1,"Routes":[{"Name":"r-chat",
    "Host":"ficu95.example","PathPrefix":"/chat/","Type":"streaming","TimeoutMs":4000,
    "TargetLatencyMs":500,"TargetGapMs":250,"Priority":0,"Service":"model","MaxAttempts":2,
    "Anonymous":false,"SessionAffinity":true,"StreamResume":true},
    {"Name":"r-booking","Host":"ficu95.example","PathPrefix":"/booking/","Type":"unsafe",
    "TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":1,
    "Anonymous":false}],
    "Services":[{"Name":"model","HealthPath":"/healthz","MaxConnections":360,
    "Engine":{"Slots":64,"KvCapacity":343073}},
    {"Name":"desk","HealthPath":"/healthz","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["key-1"]}]})";

/// A request that a client sent.
struct sent_request {
    outgoing_id id;
    time_point at{};
    duration timeout{};
};

verdict run(const case_arguments& arguments)
{
    fleet all{arguments.program, arguments.dir, arguments.record};
    store store{all.loop, all.store_address};
    store.put("config", "main", configuration);
    std::vector<std::unique_ptr<replica>> replicas;
    const auto add = [&](const std::string& id, const std::string& service, int host) {
        replicas.push_back(std::make_unique<replica>(all.loop, all.log, id, service,
                                                     all.address(host, replica_port)));
        store.put("servers", id, replicas.back()->registration());
    };
    add("d-1", "desk", 201);
    add("d-2", "desk", 202);
    for (int n = 1; n <= 4; ++n) {
        add("m-" + std::to_string(n), "model", 210 + n);
        replicas.back()->set_events(event_count);
    }
    endless_replica trouble{all.loop, all.log, all.address(220, replica_port), "\n"};
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    if (!all.wait_until_ready(router_count, 15s)) {
        return verdict::not_run;
    }
    all.run_for(4s);
    if (arguments.has_trouble) {
        all.log.line("a replica of model is in trouble: its answers are line feeds without end");
        auto entry = replicas.back()->registration();
        const std::string address = ".214:";
        entry.replace(entry.find(address), address.size(), ".220:");
        store.put("servers", "m-4", entry);
    }
    std::vector<sent_request> sent;
    int number = 0;
    const auto started_at = all.loop.now();
    auto next_chat = started_at;
    auto next_booking = started_at;
    while (all.loop.now() < started_at + length) {
        const auto now = all.loop.now();
        const int router = ++number % router_count + 1;
        if (now >= next_booking) {
            next_booking += booking_interval;
            const auto attempt = "b-" + std::to_string(number);
            sent.push_back(
                {all.send(router, "POST /booking/x", attempt, "key-1"), now, booking_timeout});
        }
        if (now >= next_chat) {
            next_chat += chat_interval;
            const auto n = std::to_string(number);
            sent.push_back({all.send(router, "POST /chat/x", "c-" + n, "key-1", "body",
                                     "Endivelatch-Model: m\r\nEndivelatch-Token-Usage: 400,60\r\n"
                                     "Endivelatch-Prefix-Hash: a" +
                                         std::to_string(number % 40) + ":300,e" + n + ":100\r\n",
                                     chat_timeout / 1ms),
                            now, chat_timeout});
        }
        for (const auto& it : sent) {
            if (it.timeout == chat_timeout && now - it.at > it.timeout &&
                !all.answers[it.id].has_ended) {
                all.leave(it.id);
            }
        }
        all.run_for(2ms);
    }
    all.run_for(6s);
    int bookings = 0;
    int unanswered = 0;
    int missed = 0;
    int never = 0;
    for (const auto& it : sent) {
        if (it.timeout != booking_timeout) {
            continue;
        }
        const auto& ended_at = all.answers[it.id].ended_at;
        const auto took = ended_at.value_or(all.loop.now()) - it.at;
        ++bookings;
        unanswered += took > it.timeout ? 1 : 0;
        missed += took > it.timeout + allowed_delay ? 1 : 0;
        never += ended_at ? 0 : 1;
    }
    all.log.line("answers begun by the replica in trouble " + std::to_string(trouble.answers()));
    all.log.line("bookings " + std::to_string(bookings) + ", unanswered at TimeoutMs " +
                 std::to_string(unanswered) + ", without an answer half a second later " +
                 std::to_string(missed) + ", never answered " + std::to_string(never));
    return missed >= least_missed && missed * least_missed_share > unanswered ? verdict::broken
                                                                              : verdict::held;
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
