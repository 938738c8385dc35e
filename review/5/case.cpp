#include "../harness/fleet.hpp"

#include <cstdlib>
#include <iostream>

namespace {

using namespace endivelatch;
using namespace endivelatch::review;
using namespace std::chrono_literals;

constexpr int router_count = 3;
constexpr int replica_count = 4;
constexpr int event_count = 50;
/// `StableWindowMs` of the settings.
constexpr duration stable_window = 3s;
/// Crashes after which the bound begins, and requests that may reach replicas from then on.
constexpr int first_crashes = 5;
constexpr int allowed_later = 3;
constexpr const char* deadly_part = "dead";
constexpr duration sound_interval = 100ms;
constexpr duration deadly_interval = 1500ms;
constexpr duration length = 45s;

constexpr const char* configuration = R"({"Version":1,"Routes":[{"Name":"r-chat",
    "Host":"ficu95.example","PathPrefix":"/chat/","Type":"streaming","TimeoutMs":15000,
    "TargetLatencyMs":400,"TargetGapMs":250,"Priority":2,"Service":"model","MaxAttempts":1,
    "Anonymous":false,"SessionAffinity":true,"StreamResume":false}],
    "Services":[{"Name":"model","HealthPath":"/healthz","MaxConnections":360,
    "Engine":{"Slots":64,"KvCapacity":343073}}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["key-1"]}]})";

/// Returns the headers of a prompt: parts of a chat, one more shared part and the last part.
std::string prompt_headers(int chat, int parts, const std::string& shared, int number)
{
    constexpr int tokens = 200;
    const auto size = ":" + std::to_string(tokens);
    std::string list;
    for (int i = 1; i <= parts; ++i) {
        list += "c" + std::to_string(chat) + "a" + std::to_string(i) + size + ",";
    }
    list += shared.empty() ? "" : shared + size + ",";
    list += "e" + std::to_string(number) + size;
    const auto total = tokens * (parts + (shared.empty() ? 1 : 2));
    return "Endivelatch-Model: m\r\nEndivelatch-Token-Usage: " + std::to_string(total) +
           ",150\r\nEndivelatch-Prefix-Hash: " + list + "\r\n";
}

verdict run(const case_arguments& arguments)
{
    // VARIANT=short: prompts of three parts, as on the sheets.
    const auto* variant = std::getenv("VARIANT"); // NOLINT(concurrency-mt-unsafe)
    const int chat_parts = variant == nullptr ? 9 : 1;
    fleet all{arguments.program, arguments.dir, arguments.record};
    store store{all.loop, all.store_address};
    std::vector<std::unique_ptr<replica>> replicas;
    store.put("config", "main", configuration);
    for (int n = 1; n <= replica_count; ++n) {
        replicas.push_back(std::make_unique<replica>(all.loop, all.log, "i-" + std::to_string(n),
                                                     "model", all.address(200 + n, replica_port)));
        replicas.back()->set_events(event_count);
        replicas.back()->set_deadly_part(deadly_part);
        store.put("servers", replicas.back()->id(), replicas.back()->registration());
    }
    for (int n = 1; n <= router_count; ++n) {
        all.start(n);
    }
    if (!all.wait_until_ready(router_count, 15s)) {
        return verdict::not_run;
    }
    all.run_for(4s);
    const auto crashes = [&] {
        int sum = 0;
        for (const auto& it : replicas) {
            sum += it->crashes();
        }
        return sum;
    };
    const auto has_run = [&](const std::string& attempt) {
        return std::any_of(replicas.begin(), replicas.end(),
                           [&](const auto& it) { return it->runs().contains(attempt); });
    };
    std::map<outgoing_id, std::string> sound;
    std::vector<std::pair<std::string, time_point>> deadly;
    std::optional<time_point> fifth_at;
    int number = 0;
    int turn = 0;
    const auto send_sound = [&](int router, int chat) {
        const auto attempt = "sound-" + std::to_string(++number);
        sound[all.send(router, "POST /chat/x", attempt, "key-1", "body",
                       prompt_headers(chat, chat_parts, "", number))] = attempt;
    };
    const auto started_at = all.loop.now();
    auto next_deadly = started_at + 1s;
    int last_deadly = 0; ///< Its chat, of which a sound request follows; 0 for none.
    while (all.loop.now() < started_at + length) {
        const auto now = all.loop.now();
        ++turn;
        send_sound(turn % router_count + 1, 1000 + turn / 40);
        if (last_deadly > 0 && now >= next_deadly - deadly_interval / 2) {
            ++turn;
            send_sound(turn % router_count + 1, std::exchange(last_deadly, 0));
        }
        if (arguments.has_trouble && now >= next_deadly) {
            next_deadly = now + deadly_interval;
            const auto name = "deadly-" + std::to_string(++number);
            last_deadly = 5000 + number;
            ++turn;
            all.send(turn % router_count + 1, "POST /chat/x", name, "key-1", "body",
                     prompt_headers(last_deadly, chat_parts, deadly_part, number));
            deadly.emplace_back(name, now);
        }
        if (!fifth_at && crashes() >= first_crashes) {
            fifth_at = all.loop.now();
            all.log.line("the fifth crash");
        }
        all.run_for(sound_interval);
    }
    all.run_for(3s);
    int later = 0;
    for (const auto& [name, sent_at] : deadly) {
        if (fifth_at && sent_at > *fifth_at + stable_window && has_run(name)) {
            ++later;
        }
    }
    int cut = 0;
    for (const auto& [id, attempt] : sound) {
        cut += has_run(attempt) && !all.answers[id].is_complete ? 1 : 0;
    }
    all.log.line("crashes " + std::to_string(crashes()) +
                 "; requests with the part that reached "
                 "replicas later than StableWindowMs after the fifth crash: " +
                 std::to_string(later));
    all.log.line("sound requests " + std::to_string(sound.size()) + ", cut off while they ran " +
                 std::to_string(cut));
    return later > allowed_later ? verdict::broken : verdict::held;
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
