#include "../harness-2/fleet.hpp"

#include "endivelatch/entry/request_server.hpp"
#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A part of a prompt crashes each replica that begins to write an answer on it: the first event of
/// the stream is written, then the process ends. The routers must keep such requests from replicas.
namespace {

using namespace endivelatch;
using namespace endivelatch::review;

constexpr int routers = 2;
constexpr int replica_count = 3;
constexpr duration run_time{30'000'000};
constexpr duration sound_interval{100'000};
constexpr duration deadly_interval{700'000};
constexpr duration event_interval{20'000};
constexpr int event_count = 5;
/// "The replica is back after some seconds."
constexpr duration restart_time{2'500'000};
constexpr duration stable_window{3'000'000};
constexpr int counted_crash = 5; ///< The rule counts requests from a while after this crash on.
constexpr int allowed_requests = 3;
constexpr duration answer_limit{5'000'000};
const std::string deadly_part = "5c1e07a2";

/// What the replicas of a case have in common.
struct observations {
    std::vector<time_point> crashes;
    int deadly_requests = 0;      ///< That reached a replica.
    int late_deadly_requests = 0; ///< Of these, those that the rule counts.
    int cut_sound_streams = 0;    ///< Sound streams that ended with a crash.
};

/// A replica that writes an event each 20 ms and crashes after the first event of a deadly prompt.
class crashing_replica {
public:
    crashing_replica(fleet& all, std::size_t number, observations& seen, record& out)
        : fleet_{&all}, number_{number}, seen_{&seen}, out_{&out},
          restart_timer_{all.loop, [this] { start(); }}, events_timer_{all.loop,
                                                                       [this] { send_events(); }}
    {
        start();
        events_timer_.start(event_interval);
    }

private:
    struct stream {
        std::string attempt;
        int next = 1;
        bool is_deadly = false;
    };

    std::string id() const { return fleet_->engines.at(number_)->id(); }

    void start()
    {
        server_ = std::make_unique<request_server>(
            fleet_->loop, request_server_callbacks{[this](exchange_number n, request_head&& head,
                                                          std::string&&) { answer(n, head); },
                                                   [this](exchange_number n) { streams_.erase(n); },
                                                   {}});
        server_->start({"127.0.0.1", 0});
        fleet_->register_replica(*fleet_->engines.at(number_), server_->listening(), ++born_);
    }

    void answer(exchange_number n, const request_head& head)
    {
        const auto* attempt = find_header_ignoring_case(head.headers, "Endivelatch-Attempt-Id");
        const auto* expected =
            find_header_ignoring_case(head.headers, "Endivelatch-Expected-Instance");
        const auto* parts = find_header_ignoring_case(head.headers, "Endivelatch-Prefix-Hash");
        if (attempt == nullptr || (expected != nullptr && *expected != id())) {
            server_->respond(n, 421, {}, {});
            return;
        }
        const bool is_deadly = parts != nullptr && parts->find(deadly_part) != std::string::npos;
        const auto now = fleet_->loop.now();
        if (is_deadly) {
            ++seen_->deadly_requests;
            const bool is_late = seen_->crashes.size() >= counted_crash &&
                                 now - seen_->crashes[counted_crash - 1] > stable_window;
            seen_->late_deadly_requests += is_late ? 1 : 0;
            out_->line(id() + " gets " + *attempt + (is_late ? ", which the rule counts" : ""));
        }
        server_->begin(n, 200,
                       {{"Endivelatch-Attempt-Id", *attempt},
                        {"Endivelatch-Response-Signature", "signed-by-" + id()},
                        {"Endivelatch-Instance-Load", "1,0,64"},
                        {"Content-Type", "text/event-stream"}},
                       std::nullopt);
        streams_[n] = {*attempt, 1, is_deadly};
    }

    void send_events()
    {
        events_timer_.start(event_interval);
        std::vector<exchange_number> finished;
        bool has_crashed = false;
        for (auto& [n, it] : streams_) {
            if (it.is_deadly && it.next > 1 && has_trouble()) {
                has_crashed = true;
                break;
            }
            if (it.next > event_count) {
                finished.push_back(n);
                continue;
            }
            const auto number = std::to_string(it.next++);
            std::string event{"id: "};
            event.append(number).append("\ndata: event ").append(number).append("\n\n");
            server_->write(n, event);
        }
        for (const auto n : finished) {
            server_->finish(n);
            streams_.erase(n);
        }
        if (has_crashed) {
            crash();
        }
    }

    void crash()
    {
        seen_->crashes.push_back(fleet_->loop.now());
        const auto cut = std::count_if(streams_.begin(), streams_.end(),
                                       [](const auto& it) { return !it.second.is_deadly; });
        seen_->cut_sound_streams += static_cast<int>(cut);
        out_->line(id() + " crashes, the " + std::to_string(seen_->crashes.size()) +
                   ". time; sound streams cut: " + std::to_string(cut));
        streams_.clear();
        server_.reset(); // Closes the port and all connections.
        restart_timer_.start(restart_time);
    }

    fleet* fleet_;
    std::size_t number_;
    observations* seen_;
    record* out_;
    int born_ = 0;
    std::unique_ptr<request_server> server_;
    std::map<exchange_number, stream> streams_;
    timer restart_timer_;
    timer events_timer_;
};

std::string prompt_headers(const std::string& parts)
{
    return "Endivelatch-Model: m\r\nEndivelatch-Token-Usage: 1460,80\r\n"
           "Endivelatch-Prefix-Hash: " +
           parts + "\r\n";
}

verdict run(record& out)
{
    fleet_settings settings;
    settings.routers = routers;
    settings.engines = replica_count;
    fleet fleet{settings};
    observations seen;
    std::vector<std::unique_ptr<crashing_replica>> replicas;
    for (std::size_t n = 0; n < replica_count; ++n) {
        replicas.push_back(std::make_unique<crashing_replica>(fleet, n, seen, out));
    }
    if (!fleet.wait_until_ready()) {
        out.line("the routers do not become ready");
        return verdict::not_run;
    }
    fleet.run_for(duration{500'000});
    std::set<outgoing_id> sound;
    int number = 0;
    const auto send_sound = [&] {
        const auto n = std::to_string(++number);
        sound.insert(fleet.send(number % routers + 1, "POST", "/summary/x", "sound-" + n,
                                prompt_headers("c0:800,d" + n + ":410,e" + n + ":250")));
    };
    const auto send_deadly = [&] {
        const auto n = std::to_string(++number);
        fleet.send(number % routers + 1, "POST", "/summary/x", "deadly-" + n,
                   prompt_headers("c0:800," + deadly_part + ":410,f" + n + ":250"));
    };
    timer sound_timer{fleet.loop, [&] {
                          send_sound();
                          sound_timer.start(sound_interval);
                      }};
    timer deadly_timer{fleet.loop, [&] {
                           send_deadly();
                           deadly_timer.start(deadly_interval);
                       }};
    sound_timer.start(sound_interval);
    deadly_timer.start(deadly_interval);
    fleet.run_for(run_time);
    sound_timer.stop();
    deadly_timer.stop();
    fleet.run_for(answer_limit / 2);
    int complete = 0;
    int broken_off = 0;
    std::map<int, int> statuses;
    for (const auto id : sound) {
        const auto& it = fleet.responses[id];
        complete += it.status == 200 && it.is_complete ? 1 : 0;
        broken_off += it.status == 200 && !it.is_complete ? 1 : 0;
        ++statuses[it.status];
    }
    out.line("crashes " + std::to_string(seen.crashes.size()) + ", requests with the part at " +
             "replicas " + std::to_string(seen.deadly_requests) + ", counted by the rule " +
             std::to_string(seen.late_deadly_requests) + " (allowed " +
             std::to_string(allowed_requests) + ")");
    out.line("sound streams " + std::to_string(sound.size()) + ", complete " +
             std::to_string(complete) + ", begun and broken off " + std::to_string(broken_off));
    for (const auto& [status, count] : statuses) {
        out.line("sound streams with status " + std::to_string(status) + ": " +
                 std::to_string(count));
    }
    return seen.late_deadly_requests > allowed_requests ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** argv)
{
    record out{argv[1]};
    const auto result = run(out);
    out.line(result == verdict::held ? "held" : result == verdict::broken ? "broken" : "not run");
    return static_cast<int>(result);
}
