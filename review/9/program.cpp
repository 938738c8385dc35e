#include "../harness-2/fleet.hpp"

#include "endivelatch/entry/request_server.hpp"
#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A part of a prompt crashes replicas, and few callers use the other parts: one each 2.4 s. The
/// routers may keep requests with that part from replicas, but not the sound ones that share their
/// first part with them.
namespace {

using namespace endivelatch;
using namespace endivelatch::review;

constexpr int replica_count = 3;
constexpr duration sound_interval{2'400'000};
constexpr duration deadly_interval{600'000};
/// Time from a request to the first event: of a long prompt, and of one that crashes the replica.
constexpr duration reading_time{700'000};
constexpr duration deadly_reading_time{200'000};
constexpr duration event_interval{20'000};
constexpr int event_count = 5;
/// "The replica is back after some seconds."
constexpr duration restart_time{2'000'000};
constexpr duration stable_window{3'000'000};
/// Least number of sound requests before the disruption, and after it, that the rule compares.
constexpr int counted_requests = 20;
/// Sound request during which the disruption begins, and how long after it was sent.
constexpr int disturbed_request = counted_requests + 1;
constexpr duration disruption_delay{300'000};
constexpr duration longest_run{115'000'000};
const std::string deadly_part = "5c1e07a2";
const std::string shared_part = "91bd3f06";

/// What the replicas of the case have in common.
struct observations {
    std::vector<time_point> crashes;
    std::set<std::string> begun; ///< Attempts of which a first event was written.
};

/// A replica that reads a prompt for a while, then writes an event each 20 ms, or crashes.
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
        time_point begins_at{};
        int next = 1;
        bool is_deadly = false;
    };

    std::string id() const { return fleet_->engines.at(number_)->id(); }

    void start()
    {
        server_ = std::make_unique<request_server>(
            fleet_->loop, request_server_callbacks{[this](exchange_number n, request_head&& head,
                                                          std::string&&) { take(n, head); },
                                                   [this](exchange_number n) { streams_.erase(n); },
                                                   {}});
        server_->start({"127.0.0.1", 0});
        fleet_->register_replica(*fleet_->engines.at(number_), server_->listening(), ++born_);
    }

    void take(exchange_number n, const request_head& head)
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
        out_->line(id() + " gets " + *attempt);
        const auto reading = is_deadly ? deadly_reading_time : reading_time;
        streams_[n] = {*attempt, fleet_->loop.now() + reading, 1, is_deadly};
    }

    void send_events()
    {
        events_timer_.start(event_interval);
        const auto now = fleet_->loop.now();
        std::vector<exchange_number> finished;
        bool has_crashed = false;
        for (auto& [n, it] : streams_) {
            if (now < it.begins_at) {
                continue;
            }
            if (it.is_deadly && has_trouble()) {
                has_crashed = true;
                break;
            }
            if (it.next > event_count) {
                finished.push_back(n);
                continue;
            }
            if (it.next == 1) {
                seen_->begun.insert(it.attempt);
                begin(n, it.attempt);
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

    void begin(exchange_number n, const std::string& attempt)
    {
        server_->begin(n, 200,
                       {{"Endivelatch-Attempt-Id", attempt},
                        {"Endivelatch-Response-Signature", "signed-by-" + id()},
                        {"Endivelatch-Instance-Load", "1,0,64"},
                        {"Content-Type", "text/event-stream"}},
                       std::nullopt);
    }

    void crash()
    {
        seen_->crashes.push_back(fleet_->loop.now());
        out_->line(id() + " crashes, the " + std::to_string(seen_->crashes.size()) +
                   ". time; requests in progress: " + std::to_string(streams_.size()));
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
    return "Endivelatch-Model: m\r\nEndivelatch-Token-Usage: 30000,80\r\n"
           "Endivelatch-Prefix-Hash: " +
           parts + "\r\n";
}

/// A sound request.
struct sound_request {
    std::string attempt;
    time_point sent_at{};
    outgoing_id id;
};

verdict run(record& out)
{
    fleet_settings settings;
    settings.engines = replica_count;
    fleet fleet{settings};
    observations seen;
    std::vector<std::unique_ptr<crashing_replica>> replicas;
    for (std::size_t n = 0; n < replica_count; ++n) {
        replicas.push_back(std::make_unique<crashing_replica>(fleet, n, seen, out));
    }
    if (!fleet.wait_until_ready()) {
        out.line("the router does not become ready");
        return verdict::not_run;
    }
    fleet.run_for(duration{500'000});
    const auto ends_at = fleet.loop.now() + longest_run;
    std::vector<sound_request> sound;
    int deadly = 0;
    timer deadly_timer{fleet.loop, [&] {
                           deadly_timer.start(deadly_interval);
                           const auto n = std::to_string(++deadly);
                           fleet.send(1, "POST", "/summary/x", "deadly-" + n,
                                      prompt_headers(deadly_part + ":410," + shared_part +
                                                     ":24290,f" + n + ":250"));
                       }};
    timer sound_timer{fleet.loop, [&] {
                          sound_timer.start(sound_interval);
                          const auto n = std::to_string(sound.size() + 1);
                          const auto attempt = "sound-" + n;
                          const auto id =
                              fleet.send(1, "POST", "/summary/x", attempt,
                                         prompt_headers(shared_part + ":24290,e" + n + ":250"));
                          sound.push_back({attempt, fleet.loop.now(), id});
                          if (sound.size() == disturbed_request) {
                              deadly_timer.start(disruption_delay);
                          }
                      }};
    sound_timer.start(sound_interval);
    const auto is_after = [&](const sound_request& it) {
        const auto last = seen.crashes.empty() ? it.sent_at : seen.crashes.back();
        return &it - sound.data() >= disturbed_request && it.sent_at > last + 2 * stable_window;
    };
    const auto count_after = [&] {
        return has_trouble() ? std::count_if(sound.begin(), sound.end(), is_after)
                             : static_cast<std::ptrdiff_t>(sound.size()) - disturbed_request;
    };
    while (count_after() < counted_requests && fleet.loop.now() < ends_at) {
        fleet.run_for(event_interval);
    }
    fleet.run_for(reading_time + event_interval * (event_count + 2));
    int before = 0;
    int begun_before = 0;
    int after = 0;
    int begun_after = 0;
    for (std::size_t n = 0; n < sound.size(); ++n) {
        const auto& it = sound[n];
        const bool has_begun = seen.begun.contains(it.attempt);
        const auto& response = fleet.responses[it.id];
        out.line(it.attempt + ": status " + std::to_string(response.status) +
                 (has_begun ? ", begun" : ", not begun"));
        if (n < counted_requests) {
            ++before;
            begun_before += has_begun ? 1 : 0;
        }
        else if (n >= disturbed_request && (!has_trouble() || is_after(it))) {
            ++after;
            begun_after += has_begun ? 1 : 0;
        }
    }
    out.line("crashes " + std::to_string(seen.crashes.size()) + ", requests with the part sent " +
             std::to_string(deadly));
    out.line("sound requests before the disruption " + std::to_string(before) + ", begun " +
             std::to_string(begun_before) +
             "; later than two stable windows after the last crash " + std::to_string(after) +
             ", begun " + std::to_string(begun_after));
    if (before < counted_requests || after < counted_requests) {
        return verdict::not_run;
    }
    // Begun less than half as often: begun_after / after < begun_before / before / 2.
    const bool is_broken = 2 * begun_after * before < begun_before * after;
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** argv)
{
    record out{argv[1]};
    const auto result = run(out);
    out.line(result == verdict::held ? "held" : result == verdict::broken ? "broken" : "not run");
    return static_cast<int>(result);
}
