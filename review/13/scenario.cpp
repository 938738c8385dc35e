#include "../harness-3/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include <unistd.h>

/// A resumable stream whose first replica crashes within an event, and whose second one crashes
/// before its first event. All replicas send streams that end with their connection.
namespace endivelatch::review {
namespace {

constexpr int replica_count = 12;
constexpr int last_event = 17;
constexpr int events_before_crash = 5;
constexpr int event_interval_ms = 30;
const std::string service = "taalmodel-pool";
const std::string key = "n2ctnfzs989anu6wsjnb";

/// Runs a replica until it is killed. With `crashes`, it crashes on the requests of the test.
int run_replica(const std::string& id, bool crashes)
{
    const auto say = [&id](const std::string& text) {
        std::printf("replica %s: %s\n", id.c_str(), text.c_str());
        std::fflush(stdout);
    };
    replica* self = nullptr;
    const auto handle = [&](connection& conn, const http_message& request) {
        const auto attempt = request.header("Endivelatch-Attempt-Id");
        const auto last = request.header("Last-Event-Id");
        say("runs " + attempt + (last.empty() ? " from the start" : " after event " + last));
        auto headers = self->answer_headers(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Connection", "close");
        conn.send(format_head("HTTP/1.1 200 OK", headers));
        const bool is_resumed = !last.empty();
        int next = is_resumed ? std::stoi(last) + 1 : 1;
        for (; next <= last_event; ++next) {
            sleep_ms(event_interval_ms);
            if (crashes && is_resumed) {
                say("crashes before event " + std::to_string(next));
                ::kill(::getpid(), SIGKILL);
            }
            const auto n = std::to_string(next);
            std::string event{"id: "};
            event.append(n).append("\ndata: token-").append(n).append("\n\n");
            if (crashes && next > events_before_crash) {
                conn.send(event.substr(0, event.size() / 2));
                sleep_ms(event_interval_ms);
                say("crashes within event " + n);
                ::kill(::getpid(), SIGKILL);
            }
            if (!conn.send(event)) {
                return false;
            }
        }
        say("ends " + attempt + " after event " + std::to_string(last_event));
        return false;
    };
    replica it{id, service, handle};
    self = &it;
    std::printf("%d\n", it.port());
    std::fflush(stdout);
    for (;;) {
        ::pause();
    }
}

/// Sends the request and reads its answer. Returns whether the rule held: a complete answer has all
/// events.
bool stream(recorder& record, connection& client)
{
    record.write("client sends request 9c41d07be2a35f68");
    client.send(make_request("POST", "/handleiding-vraag/2f", "9c41d07be2a35f68", 4'000, key,
                             {{"Endivelatch-Model", "m"},
                              {"Endivelatch-Token-Usage", "2401,51"},
                              {"Endivelatch-Prefix-Hash", "5c1e07a2:2041,e4402b7d:360"}},
                             "{}"));
    const auto answer = client.read_message(true);
    const auto seen = answer ? answer->body : client.buffer();
    int last_seen = 0;
    while (seen.find("id: " + std::to_string(last_seen + 1) + "\n") != std::string::npos) {
        ++last_seen;
    }
    record.write(answer ? "client: complete answer, " + answer->start_line
                        : "client: the answer was broken off");
    record.write("client: events 1 to " + std::to_string(last_seen) + " of " +
                 std::to_string(last_event));
    const bool is_success = answer && answer->start_line.starts_with("HTTP/1.1 200") &&
                            answer->has_header("Endivelatch-Response-Signature");
    return !is_success || last_seen == last_event;
}

[[noreturn]] void run_case()
{
    recorder record{"review/13/record.txt"};
    const bool crashes = has_trouble();
    record.write(crashes ? "with the disruption" : "without the disruption");
    store objects;
    std::vector<std::unique_ptr<replica_process>> replicas;
    for (int n = 1; n <= replica_count; ++n) {
        const auto id = "i-" + std::to_string(n);
        replicas.push_back(std::make_unique<replica_process>(
            std::vector<std::string>{id, crashes ? "crashes" : "sound"}, record));
        objects.put("servers", id, make_registration(service, replicas.back()->port()));
    }
    const auto routes =
        json::array({make_route("handleiding-vraag", "streaming", service, 4'000, 2, true)});
    objects.put("config", "main", make_configuration(1, routes, {service}, {key}));
    const auto dir = make_temporary_folder();
    int result = 2;
    {
        const router entry{dir, 1, objects.port()};
        auto client = entry.wait_until_ready() ? connection::open(entry.ip(), entry.frontend())
                                               : std::nullopt;
        if (client) {
            result = stream(record, *client) ? 0 : 1;
        }
    }
    replicas.clear();
    std::filesystem::remove_all(dir);
    finish(record, "ORDER", result);
}

} // namespace
} // namespace endivelatch::review

int main(int argc, char** argv)
{
    using namespace endivelatch::review;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 3 && arguments.front() == "replica") {
        return run_replica(arguments.at(1), arguments.at(2) == "crashes");
    }
    run_case();
}
